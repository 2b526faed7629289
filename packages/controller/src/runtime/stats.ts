/** Counters, gauges and histograms. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';

/** Two hours at most, since Node's default range takes some hundred KB for each histogram. */
const HISTOGRAM_RANGE_MS = { lowest: 1, highest: 7_200_000, figures: 2 };

/** Summary of a histogram in the reply to `GET /metrics`; durations are in ms. */
export interface HistogramSummary {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

/** All metrics, in the form of the reply to `GET /metrics`. */
export interface StatsSnapshot {
  /** Current values by name, and their maxima since the process started as `<name>.most`. */
  gauges: Record<string, number>;
  counters: Record<string, number>;
  histograms: Record<string, HistogramSummary>;
}

/** Collects the metrics of a process since its start; docs/operations.md lists their names. */
export class Stats {
  private readonly gauges = new Map<string, number>();
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, RecordableHistogram>();

  /** Adds `by` to a counter. */
  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Sets a gauge, and updates the gauge that holds its maximum. */
  setGauge(name: string, value: number): void {
    const maxName = `${name}.most`;
    this.gauges.set(name, value);
    this.gauges.set(maxName, Math.max(value, this.gauges.get(maxName) ?? value));
  }

  /** Adds a value to a histogram, rounded and clamped to its range; durations are in ms. */
  record(name: string, value: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) this.histograms.set(name, (histogram = createHistogram(HISTOGRAM_RANGE_MS)));
    const { lowest, highest } = HISTOGRAM_RANGE_MS;
    histogram.record(Math.min(highest, Math.max(lowest, Math.round(value))));
  }

  /** All metrics; gauges and counters are sorted by name. */
  snapshot(): StatsSnapshot {
    const summaries = [...this.histograms].map(
      ([name, histogram]) => [name, summaryOf(histogram)] as const,
    );
    return {
      gauges: sorted(this.gauges),
      counters: sorted(this.counters),
      histograms: Object.fromEntries(summaries),
    };
  }
}

function sorted(values: ReadonlyMap<string, number>): Record<string, number> {
  return Object.fromEntries([...values].sort(([a], [b]) => a.localeCompare(b)));
}

function summaryOf(histogram: RecordableHistogram): HistogramSummary {
  return {
    count: histogram.count,
    mean: Math.round(histogram.mean),
    p50: histogram.percentile(50),
    p90: histogram.percentile(90),
    p99: histogram.percentile(99),
    max: histogram.max,
  };
}
