/** Estimates whether concurrent image fetches on a machine share its fetch rate. */
import type { ImageFetch } from './image-fetches.js';

/** A fetch is ignored unless its two estimates differ by at least this factor. */
const MIN_ESTIMATE_FACTOR = 1.5;
/** An image that arrived before this fraction could be fetched was on the machine before. */
const MIN_FETCHED_FRACTION = 1 / 3;
/** Weight of the newest fetch in the moving average. */
const NEWEST_FETCH_FRACTION = 0.1;
/** From this probability on, fetches are assumed to share the rate. */
const MIN_SHARING_PROBABILITY = 0.5;
/** Lower limit of an estimate, since the logarithm of 0 is not finite. */
const MIN_ESTIMATE_GB = 1e-6;

/**
 * Learns from the durations of fetches whether concurrent ones share a machine's rate, which
 * differs between platforms. Sharing is assumed at first: too many fetches on a large machine
 * cost more than waiting for one of them.
 */
export class FetchSharing {
  private probability = 1;

  /** Estimated probability that fetches share the rate, from 0 to 1. */
  get sharingProbability(): number {
    return this.probability;
  }

  /** True if fetches are to be assumed to share the rate. */
  get isShared(): boolean {
    return this.probability >= MIN_SHARING_PROBABILITY;
  }

  /** Restores the probability that another leader estimated. */
  restore(sharingProbability: number): void {
    this.probability = sharingProbability;
  }

  /**
   * Updates the probability by a completed fetch; no effect if its two estimates hardly differ, or
   * if the image must have been on the machine before.
   */
  record({ sizeGb, sharedRateGb, fullRateGb }: Readonly<ImageFetch>): void {
    if (
      fullRateGb < sizeGb * MIN_FETCHED_FRACTION ||
      fullRateGb < sharedRateGb * MIN_ESTIMATE_FACTOR
    )
      return;
    const error = (estimateGb: number) =>
      Math.abs(Math.log(Math.max(estimateGb, MIN_ESTIMATE_GB) / sizeGb));
    const wasShared = error(sharedRateGb) < error(fullRateGb) ? 1 : 0;
    this.probability += NEWEST_FETCH_FRACTION * (wasShared - this.probability);
  }
}
