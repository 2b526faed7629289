/** Counters, gauges and histograms. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';

/** Up to two hours in ms; the default range takes some hundred KB for each histogram. */
const RANGE = { lowest: 1, highest: 7_200_000, figures: 2 };

/** What one histogram comes to; durations are in ms. */
export interface Spread {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

/** All that was counted, as `GET /metrics` shows it. */
export interface StatsView {
  /** What there is at the moment. */
  gauges: Record<string, number>;
  counters: Record<string, number>;
  histograms: Record<string, Spread>;
}

/** A process's own counters and histograms, since its start; see docs/operations.md. */
export class Stats {
  private readonly gauges = new Map<string, number>();
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, RecordableHistogram>();

  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Sets a gauge, and keeps the most it has ever shown. */
  gauge(name: string, value: number): void {
    const most = `${name}.most`;
    this.gauges.set(name, value);
    this.gauges.set(most, Math.max(value, this.gauges.get(most) ?? value));
  }

  record(name: string, value: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) this.histograms.set(name, (histogram = createHistogram(RANGE)));
    // It takes whole numbers of its range.
    histogram.record(Math.min(RANGE.highest, Math.max(RANGE.lowest, Math.round(value))));
  }

  view(): StatsView {
    const spreads = [...this.histograms].map(([name, h]) => [name, spread(h)] as const);
    return {
      gauges: sorted(this.gauges),
      counters: sorted(this.counters),
      histograms: Object.fromEntries(spreads),
    };
  }
}

function sorted(values: ReadonlyMap<string, number>): Record<string, number> {
  return Object.fromEntries([...values].sort(([a], [b]) => a.localeCompare(b)));
}

function spread(h: RecordableHistogram): Spread {
  return {
    count: h.count,
    mean: Math.round(h.mean),
    p50: h.percentile(50),
    p90: h.percentile(90),
    p99: h.percentile(99),
    max: h.max,
  };
}
