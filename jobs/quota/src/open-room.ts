import type { Resources } from '@wisteriaslip/jobs.model'
import type { Scheduler, TrackedStep, TrackedWorker } from '@wisteriaslip/jobs.scheduler'
import { most, nothing, plus } from './resources.ts'

interface Open {
  readonly worker: TrackedWorker
  readonly free: Resources
}

/** Room that a service's workers have now, also the withdrawn ones: tasks without other room may be started there. */
export class OpenRoom {
  private readonly open: Open[] = []
  private sum = nothing
  private largest = nothing

  /**
   * @param scheduler - scheduler of the service
   * @param now - time of the injected clock
   */
  constructor (scheduler: Scheduler, now: number) {
    for (const worker of scheduler.workers.values()) {
      if (!worker.takesStarts(now) && !(worker.withdrawn && worker.isReadyForStarts(now))) continue
      const free = most(nothing, worker.free())
      this.open.push({ worker, free })
      this.sum = plus(this.sum, free)
      this.largest = most(this.largest, free)
    }
  }

  /** @returns free capacity of all workers that take starts */
  total (): Resources {
    return this.sum
  }

  /**
   * @param step - a step with waiting tasks
   * @returns whether there is room for one of its tasks, or for the whole gang
   */
  takes (step: TrackedStep): boolean {
    if (placesIn(step, this.largest) < 1) return false
    const needed = step.spec.gang ? step.tasks.length : 1
    let places = 0
    for (const each of this.open) {
      places += placesOn(step, each)
      if (places >= needed) return true
    }
    return false
  }
}

function placesOn (step: TrackedStep, { worker, free }: Open): number {
  const { label, perWorker } = step.spec
  if (label && !worker.registration.labels.includes(label)) return 0
  const places = placesIn(step, free)
  return perWorker > 0 ? Math.min(places, perWorker - worker.runsOf(step)) : places
}

/** The processor time of backfill does not count against a worker's capacity. */
function placesIn ({ spec: { demand, backfill } }: TrackedStep, free: Resources): number {
  const dimensions = backfill ? ['memMb', 'accelerators'] as const : ['cpu', 'memMb', 'accelerators'] as const
  return Math.min(...dimensions.map(dimension => demand[dimension] === 0 ? Infinity : Math.floor(free[dimension] / demand[dimension])))
}
