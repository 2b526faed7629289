/** Image fetches in progress on one machine, and estimates of how long they will take. */
import { millisecondsOf, secondsOf, type Duration, type Instant } from '@tealdock/wire';

/** Lower limit of a rate that may be unknown or zero, so that delays stay finite. */
const MIN_RATE_GB_PER_S = 0.01;

/** Estimated progress of a fetch, until now or until its end. */
export interface ImageFetch {
  readonly sizeGb: number;
  /** Amount fetched if concurrent fetches share the machine's rate. */
  sharedRateGb: number;
  /** Amount fetched if each fetch has the full rate; not limited to the image's size. */
  fullRateGb: number;
}

/** Parameters that determine the delay of an image. */
interface DelayQuery {
  readonly image: string;
  readonly sizeGb: number;
  /** Images that tasks on the machine wait for, with their sizes in GB. */
  readonly awaited: ReadonlyMap<string, number>;
  /** Whether concurrent fetches share the machine's rate: images then arrive one by one. */
  readonly isRateShared: boolean;
  readonly now: Instant;
}

/** Image fetches in progress on one machine, estimated from the starts dispatched to it. */
export class ImageFetches {
  /** 0 until the machine's type is known. */
  private rateGbPerS = 0;
  /** Fetches by image, in the order of their starts. */
  private readonly running = new Map<string, ImageFetch>();
  private updatedAt: Instant = 0;

  /** Sets the rate, which applies from the last update of the estimates on. */
  setRate(gbPerSecond: number): void {
    this.rateGbPerS = gbPerSecond;
  }

  /** Records the start of a fetch; no effect if the image is being fetched already. */
  start(image: string, sizeGb: number, now: Instant): void {
    this.advance(now);
    if (!this.running.has(image))
      this.running.set(image, { sizeGb, sharedRateGb: 0, fullRateGb: 0 });
  }

  /** Ends and returns the fetch of an image that has arrived; undefined if none was started. */
  complete(image: string, now: Instant): Readonly<ImageFetch> | undefined {
    this.advance(now);
    const fetch = this.running.get(image);
    this.running.delete(image);
    return fetch;
  }

  /** Drops fetches of other images, since a machine aborts a fetch that no task waits for. */
  retain(awaited: ReadonlyMap<string, number>, now: Instant): void {
    this.advance(now);
    for (const image of this.running.keys()) if (!awaited.has(image)) this.running.delete(image);
  }

  /** How long one more task would wait for its image. */
  delayOf({ image, sizeGb, awaited, isRateShared, now }: DelayQuery): Duration {
    this.advance(now);
    const fetch = this.running.get(image);
    const fetchedGb = !fetch ? 0 : isRateShared ? fetch.sharedRateGb : fetch.fullRateGb;
    let remainingGb = Math.max(0, sizeGb - fetchedGb);
    if (isRateShared) remainingGb += this.queuedAheadGb(image, awaited);
    return millisecondsOf(remainingGb / Math.max(MIN_RATE_GB_PER_S, this.rateGbPerS));
  }

  /** Remaining size of the images that are fetched before this one if the rate is shared, in GB. */
  private queuedAheadGb(image: string, awaited: ReadonlyMap<string, number>): number {
    let sum = 0;
    for (const [other, fetch] of this.running) {
      if (other === image) return sum;
      if (awaited.has(other)) sum += fetch.sizeGb - fetch.sharedRateGb;
    }
    // Images of assigned tasks whose start has not been dispatched yet.
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
      const ownGb = Math.min(remainingGb, fetch.sizeGb - fetch.sharedRateGb);
      fetch.sharedRateGb += ownGb;
      fetch.fullRateGb += elapsedGb;
      remainingGb -= ownGb;
    }
  }
}
