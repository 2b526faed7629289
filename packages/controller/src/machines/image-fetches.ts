/** Image fetches that are under way on one machine, and how long they will take. */
import { millisecondsOf, secondsOf, type Duration, type Instant } from '@tealdock/wire';

/** Stands in for a rate that is not known or zero, so that a delay stays finite. */
const MIN_RATE_GB_PER_S = 0.01;

/** A fetch since its start, or as it ended. */
export interface ImageFetch {
  readonly sizeGb: number;
  /** What should have arrived by now if fetches at the same time share the machine's rate. */
  sharedGb: number;
  /** What should have arrived by now if each fetch has the whole rate. */
  soloGb: number;
}

/** An image and what it is measured against. */
interface DelayQuery {
  readonly image: string;
  readonly sizeGb: number;
  /** Images that tasks on the machine wait for, with their sizes in GB. */
  readonly awaited: ReadonlyMap<string, number>;
  /** Fetches at the same time share the machine's rate: one image after the other. */
  readonly isRateShared: boolean;
  readonly now: Instant;
}

/** What one machine is fetching because of the starts dispatched to it, by estimate. */
export class ImageFetches {
  /** 0 until the machine's type is known. */
  private rateGbPerS = 0;
  /** By image, in the order in which they started. */
  private readonly running = new Map<string, ImageFetch>();
  private updatedAt: Instant = 0;

  /** Counts from the last update of the estimates. */
  setRate(gbPerSecond: number): void {
    this.rateGbPerS = gbPerSecond;
  }

  /** Has no effect while the image is being fetched already. */
  start(image: string, sizeGb: number, now: Instant): void {
    this.advance(now);
    if (!this.running.has(image)) this.running.set(image, { sizeGb, sharedGb: 0, soloGb: 0 });
  }

  /** The image is there. Undefined if its fetch was not seen from its start. */
  complete(image: string, now: Instant): Readonly<ImageFetch> | undefined {
    this.advance(now);
    const fetch = this.running.get(image);
    this.running.delete(image);
    return fetch;
  }

  /** Drops fetches of other images: a machine gives up a fetch that no task waits for. */
  retain(awaited: ReadonlyMap<string, number>, now: Instant): void {
    this.advance(now);
    for (const image of this.running.keys()) if (!awaited.has(image)) this.running.delete(image);
  }

  /** How long one more task would wait for its image. */
  delayOf({ image, sizeGb, awaited, isRateShared, now }: DelayQuery): Duration {
    this.advance(now);
    const fetch = this.running.get(image);
    const fetchedGb = !fetch ? 0 : isRateShared ? fetch.sharedGb : fetch.soloGb;
    let remainingGb = Math.max(0, sizeGb - fetchedGb);
    if (isRateShared) remainingGb += this.queuedAheadGb(image, awaited);
    return millisecondsOf(remainingGb / Math.max(MIN_RATE_GB_PER_S, this.rateGbPerS));
  }

  /** What remains to be fetched of images whose turn comes before this one's. */
  private queuedAheadGb(image: string, awaited: ReadonlyMap<string, number>): number {
    let sum = 0;
    for (const [other, fetch] of this.running) {
      if (other === image) return sum;
      if (awaited.has(other)) sum += fetch.sizeGb - fetch.sharedGb;
    }
    // Assigned tasks whose start has not been dispatched yet.
    for (const [other, sizeGb] of awaited) {
      if (other !== image && !this.running.has(other)) sum += sizeGb;
    }
    return sum;
  }

  private advance(now: Instant): void {
    if (now === this.updatedAt) return;
    const elapsedGb = secondsOf(now - this.updatedAt) * this.rateGbPerS;
    this.updatedAt = now;
    let remainingGb = elapsedGb;
    for (const fetch of this.running.values()) {
      const ownGb = Math.min(remainingGb, fetch.sizeGb - fetch.sharedGb);
      fetch.sharedGb += ownGb;
      fetch.soloGb += elapsedGb;
      remainingGb -= ownGb;
    }
  }
}
