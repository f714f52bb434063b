/**
 * TWICE, for steps without copies: two runs of one work unit at the same time, or a start after a run has ended `done`
 * whose end is taken note of then or later. `log` is the record of a site.
 */
export function findTwice (log) {
  const noted = new Map()
  const runs = new Map()
  for (const { at, kind, worker, born, task, attempt, how, seq } of log) {
    if (kind === 'noted') noted.set(`${worker}#${born}#${seq}`, at)
    if (kind === 'start') runs.set(task, [...runs.get(task) ?? [], { worker, born, attempt, from: at, to: Infinity }])
    if (kind !== 'end') continue
    const run = runs.get(task).find(each => each.worker === worker && each.born === born && each.attempt === attempt)
    Object.assign(run, { to: at, how, seq })
  }
  const overlapping = []
  const repeated = []
  for (const [task, all] of runs) {
    for (const first of all) {
      for (const second of all) {
        if (first === second || second.from < first.from) continue
        if (second.from < first.to) overlapping.push({ task, first, second })
        else if (first.how === 'done' && noted.has(`${first.worker}#${first.born}#${first.seq}`)) repeated.push({ task, first, second })
      }
    }
  }
  return { overlapping, repeated }
}

/** Prints and records what was found; returns whether nothing was. */
export function reportTwice (site) {
  const { overlapping, repeated } = findTwice(site.log)
  for (const { task, first, second } of [...overlapping, ...repeated].slice(0, 20)) {
    site.record('TWICE', { task, firstRun: first.attempt, worker: first.worker, from: first.from, to: first.to, how: first.how, secondRun: second.attempt, secondWorker: second.worker, secondFrom: second.from })
  }
  const starts = site.log.filter(({ kind }) => kind === 'start').length
  console.log(`starts ${starts}, at the same time ${overlapping.length}, again after an end that was taken note of ${repeated.length}`)
  return overlapping.length + repeated.length === 0
}
