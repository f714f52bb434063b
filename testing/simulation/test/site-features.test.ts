import assert from 'node:assert/strict'
import { afterEach, test } from 'node:test'
import { Simulation, type SimulationOpts } from '@wisteriaslip/testing.simulation'
import { jobId } from '../src/site-jobs.ts'

const JOB = jobId({ service: 'alpha', tasks: 4, cpu: 1_000, runMs: Infinity }, 1)
let site: Simulation

function create (features: SimulationOpts['features']): Simulation {
  site = new Simulation({ seed: 1, entries: 3, pools: [{ name: 'alpha', vms: 2 }, { name: 'beta', vms: 2 }, { name: 'spare', vms: 0, standby: true }], ...features === undefined ? {} : { features } })
  return site
}

/** @returns names of the services of the workers on which tasks of a job run */
function servicesOf (job: string): string[] {
  return site.fleet.vms.flatMap(({ incarnation }) => [...incarnation?.runs.keys() ?? []].filter(task => task.startsWith(`${job}.`)).map(() => incarnation?.registration.service ?? ''))
}

afterEach(() => site.close())

test('at a site with permits a task starts with one, and not before', async () => {
  const { process, permits } = create({ needsPermit: true })
  permits.silent = true
  await process.run(1_500)
  site.submit(JOB)
  await process.run(6_000)
  assert.equal(servicesOf(JOB).length, 0)
  permits.silent = false
  await process.run(12_000)
  assert.equal(servicesOf(JOB).length, 4)
})

test('a client account has no more running than its quota', async () => {
  const { process } = create({ quotaCpu: 2_500 })
  await process.run(1_500)
  site.submit(JOB)
  await process.run(8_000)
  assert.equal(servicesOf(JOB).length, 2)
})

test('a queue that has moved takes jobs to its new service, and runs earlier ones where they are', async () => {
  const later = jobId({ service: 'alpha', tasks: 2, cpu: 1_000, runMs: Infinity }, 2)
  const { process } = create({ extraQueues: true })
  await process.run(1_500)
  site.submit(JOB)
  await process.run(4_000)
  site.moveQueue('alpha', 'beta')
  await process.run(8_000)
  assert.deepEqual(servicesOf(JOB), ['alpha', 'alpha', 'alpha', 'alpha'])
  site.submit(later)
  await process.run(12_000)
  assert.equal(servicesOf(later).length, 2)
})
