/** Actual run times of tasks relative to the estimates of their users, by job class. */

/** Weight of the newest task in the exponential moving average. */
const NEWEST_WEIGHT_FRACTION = 0.1;
/** Upper bound on the ratio that a single task contributes to the average. */
const MAX_RATIO_FACTOR = 10;

/** Read-only view of the ratios. */
export interface RunTimeRatioView {
  /** Actual divided by estimated run time; 1 for a class without completed tasks. */
  ratioOf(jobClass: string): number;
}

/** Exponential moving averages of actual divided by estimated run time, by job class. */
export class RunTimeRatios implements RunTimeRatioView {
  private readonly ratios = new Map<string, number>();

  ratioOf(jobClass: string): number {
    return this.ratios.get(jobClass) ?? 1;
  }

  /** Adds a completed task's ratio of actual to estimated run time to the average of its class. */
  recordCompletion(jobClass: string, ratio: number): void {
    const known = this.ratioOf(jobClass);
    this.ratios.set(
      jobClass,
      known * (1 - NEWEST_WEIGHT_FRACTION) +
        Math.min(ratio, MAX_RATIO_FACTOR) * NEWEST_WEIGHT_FRACTION,
    );
  }

  /** Sets the average of a class to the one that a previous leader computed. */
  restore(jobClass: string, ratio: number): void {
    this.ratios.set(jobClass, ratio);
  }

  /** Ratios of the classes with completed tasks or with a restored average. */
  entries(): [string, number][] {
    return [...this.ratios];
  }
}
