import assert from 'node:assert/strict'
import { test } from 'node:test'
import { InterferenceModel, type ObservedRun } from '@wisteriaslip/jobs.interference'
import { FILLING_IMAGES, REPORT_EVERY_MS, SERVING_IMAGES, SyntheticFleet, type Disturbance, type FleetOpts } from './fleet.ts'

const SEEDS = [1, 2, 3]
const strong: readonly Disturbance[] = [
  { image: 'filling-0', on: 'serving-0', rise: 0.8 },
  { image: 'filling-4', on: 'serving-3', rise: 0.6 },
  { image: 'filling-9', on: 'serving-5', rise: 1.5 }
]

function namesOf (disturbances: readonly Disturbance[]): string[] {
  return disturbances.map(({ image, on }) => `${image} on ${on}`).sort()
}

/** Asserts that a fleet's model finds what disturbs within that many reports of each worker, and nothing else on the way. */
function assertFinds (opts: FleetOpts, reports: number): void {
  for (const seed of SEEDS) {
    const fleet = new SyntheticFleet({ disturbances: strong, ...opts, seed })
    const found = fleet.report(reports).filter(({ change }) => change === 'found').map(({ image, on }) => `${image} on ${on}`)
    assert.deepEqual(fleet.known(), namesOf(fleet.disturbances), `seed ${seed}`)
    assert.deepEqual([...new Set(found)].sort(), namesOf(fleet.disturbances), `seed ${seed}`)
  }
}

test('three disturbing pairs of twenty images are found within 100 reports of each worker, and no others', () => {
  assert.equal(SERVING_IMAGES.length + FILLING_IMAGES.length, 20)
  assertFinds({}, 100)
})

test('they are found within 180 reports although some workers are slow as a whole', () => {
  assertFinds({ slow: { w1: 3, w2: 3, w3: 2, w4: 2, w5: 2, w6: 2, w7: 2, w8: 2 } }, 180)
})

test('they are found although half of the reports are missing and a fifth are late, within 100 reports of each', () => {
  assertFinds({ missing: 0.5, late: 0.2 }, 100)
})

test('noise of the size of the effects delays their discovery to 200 reports, and feigns none', () => {
  const alike = strong.map(pair => ({ ...pair, rise: 0.6 }))
  assertFinds({ noise: Math.log(1.6), disturbances: alike }, 200)
})

test('images that disturb nobody are not kept apart, whatever their load', () => {
  assertFinds({ disturbances: [], noise: 0.5 }, 240)
})

test('a pair that begins to disturb is found and one that stops is dropped', () => {
  const fleet = new SyntheticFleet({ disturbances: strong.slice(0, 2), seed: 3 })
  fleet.report(100)
  fleet.disturbances = strong.slice(1)
  const changes = fleet.report(100)
  assert.deepEqual(fleet.known(), namesOf(strong.slice(1)))
  assert.deepEqual(changes.map(({ change, image }) => `${change} ${image}`).sort(), ['dropped filling-0', 'found filling-9'])
})

test('a changed amount is followed', () => {
  const fleet = new SyntheticFleet({ disturbances: strong.slice(0, 1), seed: 2 })
  fleet.report(100)
  const before = fleet.model.effectOf('filling-0', 'serving-0')?.rise ?? 0
  fleet.disturbances = [{ image: 'filling-0', on: 'serving-0', rise: 2.5 }]
  fleet.report(60)
  const after = fleet.model.effectOf('filling-0', 'serving-0')?.rise ?? 0
  assert.ok(before > 0.5 && before < 1.2, String(before))
  assert.ok(after > 1.7 && after < 3.3, String(after))
})

test('a pair that is not seen together any more is dropped within a minute', () => {
  const fleet = new SyntheticFleet({ disturbances: strong, seed: 1 })
  fleet.report(100)
  for (let now = fleet.now; now <= fleet.now + 61_000; now += REPORT_EVERY_MS) {
    fleet.model.observe('w1', [{ key: 'k', image: 'serving-0', group: 'g', tailMs: 40, activity: 1 }], now)
  }
  assert.deepEqual(fleet.known(), [])
  assert.equal(fleet.model.concerns('serving-0'), false)
})

/** Lets forty workers report for a minute: each has the images that `imagesOn` names, and `tailOf` gives the tails of those that serve. */
function knownAfterMinute (imagesOn: (worker: number) => readonly string[], tailOf: (worker: number, image: string) => number, lateTailOf = tailOf): string[] {
  const model = new InterferenceModel()
  const runsOf = (worker: number, tails: typeof tailOf): ObservedRun[] => imagesOn(worker).map(image => ({ key: `${image}@${worker}`, image, group: image, tailMs: image.startsWith('serving') ? tails(worker, image) : 0, activity: 1 }))
  for (let now = 0; now < 60_000; now += REPORT_EVERY_MS) {
    for (let worker = 0; worker < 40; worker++) {
      model.observe(`w${worker}`, runsOf(worker, tailOf), now)
      if (lateTailOf !== tailOf) model.observe(`w${worker}`, runsOf(worker, lateTailOf), now - REPORT_EVERY_MS)
    }
  }
  return model.known().map(({ image, on }) => `${image} on ${on}`)
}

test('a neighbour that only ever shares workers with the one that disturbs is not blamed', () => {
  const images = (worker: number): string[] => ['serving', ...worker < 14 ? ['culprit'] : [], ...worker < 5 ? ['bystander'] : []]
  assert.deepEqual(knownAfterMinute(images, worker => worker < 14 ? 80 : 40), ['culprit on serving'])
})

test('a pair that is mostly seen on slow workers is not kept apart', () => {
  const images = (worker: number): string[] => ['serving-2', ...worker < 20 ? ['filling'] : [], ...worker < 6 || worker >= 20 ? ['serving-1'] : []]
  assert.deepEqual(knownAfterMinute(images, worker => worker < 5 ? 80 : 40), [])
})

test('an image that slows all others down is found, although its workers seem slow as a whole', () => {
  const images = (worker: number): string[] => ['serving-1', 'serving-2', ...worker < 12 ? ['filling'] : []]
  assert.deepEqual(knownAfterMinute(images, worker => worker < 12 ? 80 : 40).sort(), ['filling on serving-1', 'filling on serving-2'])
})

test('reports that arrive after later ones are ignored', () => {
  const images = (worker: number): string[] => ['serving', ...worker < 14 ? ['filling'] : []]
  assert.deepEqual(knownAfterMinute(images, () => 40, worker => worker < 14 ? 200 : 40), [])
})

test('nothing is learned from a worker that is known to be slow', () => {
  const fleet = new SyntheticFleet({ seed: 1 })
  for (let now = 0; now < 60_000; now += REPORT_EVERY_MS) {
    for (let worker = 0; worker < 12; worker++) {
      const slow = worker < 6
      const filling = slow ? [{ key: 'f', image: 'f', group: 'f', tailMs: 0, activity: 1 }] : []
      fleet.model.observe(`w${worker}`, [{ key: `s${worker}`, image: 's', group: 's', tailMs: slow ? 90 : 40, activity: 1 }, ...filling], now, { slow })
    }
  }
  assert.deepEqual(fleet.known(), [])
})
