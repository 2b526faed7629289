/** Whether image fetches on one machine slow each other down. */
import type { ImageFetch } from './image-fetches.js';

/** A fetch says nothing unless the two estimates of it differ by this much. */
const MIN_ESTIMATE_FACTOR = 1.5;
/** An image that came before this fraction of it could be fetched was there before. */
const MIN_FETCHED_FRACTION = 1 / 3;
/** Weight of the newest fetch in the probability. */
const NEWEST_FETCH_FRACTION = 0.1;
/** From this probability on, fetches are taken to share the rate. */
const MIN_SHARING_PROBABILITY = 0.5;
/** Stands in for an estimate of nothing, whose logarithm is not finite. */
const MIN_ESTIMATE_GB = 1e-6;

/**
 * Learns from how long fetches take whether several at the same time share a machine's rate,
 * which differs between platforms. Sharing is assumed at first: too many fetches on a large
 * machine cost more than waiting for one of them.
 */
export class FetchSharing {
  private probability = 1;

  /** How sure it is that fetches share the rate, from 0 to 1. */
  get sharingProbability(): number {
    return this.probability;
  }

  /** True if fetches are to be taken to share the rate. */
  get isShared(): boolean {
    return this.probability >= MIN_SHARING_PROBABILITY;
  }

  /** Starts from what another leader had learnt. */
  restore(sharingProbability: number): void {
    this.probability = sharingProbability;
  }

  /** A fetch ended; without others beside it, it changes nothing. */
  record({ sizeGb, sharedGb, soloGb }: Readonly<ImageFetch>): void {
    if (soloGb < sizeGb * MIN_FETCHED_FRACTION || soloGb < sharedGb * MIN_ESTIMATE_FACTOR) return;
    const error = (estimateGb: number) =>
      Math.abs(Math.log(Math.max(estimateGb, MIN_ESTIMATE_GB) / sizeGb));
    const wasShared = error(sharedGb) < error(soloGb) ? 1 : 0;
    this.probability += NEWEST_FETCH_FRACTION * (wasShared - this.probability);
  }
}
