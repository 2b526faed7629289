/** How long tasks of a job class run, compared with what their users estimate. */

/** Weight of the newest task in the average. */
const NEWEST_WEIGHT_FRACTION = 0.1;
/** A single task counts with at most this ratio. */
const MAX_RATIO_FACTOR = 10;

/** Read-only view of the ratios. */
export interface RunTimeRatioView {
  /** Actual divided by estimated run time; 1 for a class without completed tasks. */
  ratioOf(jobClass: string): number;
}

/** Moving averages of actual divided by estimated run time, by job class. */
export class RunTimeRatios implements RunTimeRatioView {
  private readonly ratios = new Map<string, number>();

  ratioOf(jobClass: string): number {
    return this.ratios.get(jobClass) ?? 1;
  }

  /** Includes a completed task in the average of its class. */
  recordCompletion(jobClass: string, ratio: number): void {
    const known = this.ratioOf(jobClass);
    this.ratios.set(
      jobClass,
      known * (1 - NEWEST_WEIGHT_FRACTION) +
        Math.min(ratio, MAX_RATIO_FACTOR) * NEWEST_WEIGHT_FRACTION,
    );
  }

  /** Starts a class from the average of an earlier leader. */
  restore(jobClass: string, ratio: number): void {
    this.ratios.set(jobClass, ratio);
  }

  /** Classes with completed tasks and their ratios. */
  entries(): [string, number][] {
    return [...this.ratios];
  }
}
