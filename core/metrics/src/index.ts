/**
 * Counters, gauges and latency histograms, rendered in the Prometheus text format.
 * @module
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>

const MAX_LATENCY_US = 120_000_000
const PERCENTILES = [50, 90, 99, 99.9]
const MAX_SERIES = 4_000
const OTHER_VALUES = 'other'

/** Registry of all metric series of a process. Once there are `MAX_SERIES` counters or histograms, new ones are dropped. */
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, () => number>()
  private readonly histograms = new Map<string, Histogram>()
  private readonly labelValues = new Map<string, Set<string>>()

  /**
   * Increments a counter.
   * @param name - metric name
   * @param labels - labels of the series
   * @param amount - increment
   */
  count (name: string, labels: Labels = {}, amount = 1): void {
    const key = seriesKey(name, labels)
    const current = this.counters.get(key)
    if (current === undefined && this.counters.size >= MAX_SERIES) return
    this.counters.set(key, (current ?? 0) + amount)
  }

  /**
   * Registers a gauge that is read on each rendering.
   * @param name - metric name
   * @param labels - labels of the series
   * @param read - returns the current value
   */
  gauge (name: string, labels: Labels, read: () => number): void {
    this.gauges.set(seriesKey(name, labels), read)
  }

  /**
   * Records a latency, in microseconds, in a histogram.
   * @param name - metric name, ending in `_us`
   * @param labels - labels of the series
   * @param ms - latency in milliseconds
   */
  observe (name: string, labels: Labels, ms: number): void {
    const key = seriesKey(name, labels)
    let histogram = this.histograms.get(key)
    if (histogram === undefined) {
      if (this.histograms.size >= MAX_SERIES) return
      histogram = newHistogram()
      this.histograms.set(key, histogram)
    }
    histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(ms * 1_000))))
  }

  /**
   * Bounds the values of a label that callers or operators name.
   * @param label - the label
   * @param value - its value
   * @param maxValues - number of values that keep their names
   * @returns the value if it is one of the first `maxValues`, else `other`
   */
  boundedValue (label: string, value: string, maxValues: number): string {
    const values = this.labelValues.get(label) ?? new Set()
    this.labelValues.set(label, values)
    if (values.size < maxValues) values.add(value)
    return values.has(value) ? value : OTHER_VALUES
  }

  /**
   * @param name - metric name
   * @param labels - labels of the series
   * @returns the counter's value; 0 when it was never incremented
   */
  counter (name: string, labels: Labels = {}): number {
    return this.counters.get(seriesKey(name, labels)) ?? 0
  }

  /** @returns the response body for `/metrics` */
  render (): string {
    const lines: string[] = []
    for (const [key, value] of this.counters) lines.push(`${key} ${value}`)
    for (const [key, read] of this.gauges) lines.push(`${key} ${read()}`)
    for (const [key, histogram] of this.histograms) lines.push(...histogramLines(key, histogram))
    return lines.join('\n') + '\n'
  }

  /** @returns the count and the 50th and 99th percentile, in milliseconds, of each histogram */
  summary (): Record<string, { count: number, p50Ms: number, p99Ms: number }> {
    const out: Record<string, { count: number, p50Ms: number, p99Ms: number }> = {}
    for (const [key, histogram] of this.histograms) {
      out[key] = {
        count: histogram.totalCount,
        p50Ms: histogram.getValueAtPercentile(50) / 1_000,
        p99Ms: histogram.getValueAtPercentile(99) / 1_000
      }
    }
    return out
  }
}

function newHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32
  })
}

function histogramLines (key: string, histogram: Histogram): string[] {
  const lines = PERCENTILES.map(percentile => {
    const value = histogram.getValueAtPercentile(percentile)
    return `${withLabel(key, 'quantile', String(percentile / 100))} ${value}`
  })
  lines.push(`${withSuffix(key, '_count')} ${histogram.totalCount}`)
  lines.push(`${withSuffix(key, '_sum')} ${Math.round(histogram.mean * histogram.totalCount)}`)
  return lines
}

function seriesKey (name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${sanitizeLabelValue(value)}"`)
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}

function sanitizeLabelValue (value: string): string {
  return value.replace(/[\\"\n]/g, '_')
}

function withLabel (key: string, label: string, value: string): string {
  return key.endsWith('}') ? `${key.slice(0, -1)},${label}="${value}"}` : `${key}{${label}="${value}"}`
}

function withSuffix (key: string, suffix: string): string {
  const brace = key.indexOf('{')
  return brace === -1 ? key + suffix : key.slice(0, brace) + suffix + key.slice(brace)
}
