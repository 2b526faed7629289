import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';

/** What one histogram comes to; durations are in ms. */
export interface Spread {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

export interface StatsView {
  counters: Record<string, number>;
  histograms: Record<string, Spread>;
}

/** A process's own counters and histograms, since its start; see docs/operations.md. */
export class Stats {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, RecordableHistogram>();

  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  record(name: string, value: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) this.histograms.set(name, (histogram = createHistogram()));
    // It takes whole numbers from 1.
    histogram.record(Math.max(1, Math.round(value)));
  }

  view(): StatsView {
    const sorted = [...this.counters].sort(([a], [b]) => a.localeCompare(b));
    const spreads = [...this.histograms].map(([name, h]) => [name, spread(h)] as const);
    return { counters: Object.fromEntries(sorted), histograms: Object.fromEntries(spreads) };
  }
}

function spread(h: RecordableHistogram): Spread {
  return {
    count: Number(h.count),
    mean: Math.round(h.mean),
    p50: h.percentile(50),
    p90: h.percentile(90),
    p99: h.percentile(99),
    max: h.max,
  };
}
