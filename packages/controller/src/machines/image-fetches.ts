/** What machines fetch, and how soon it will be there. */
import type { Duration, Instant } from '@tealdock/wire';

interface Fetch {
  gb: number;
  /** What should have come by now if fetches share the machine's rate, and if they don't. */
  shared: number;
  alone: number;
}

/** A fetch that has ended, for what it tells of rates. */
type Ended = Readonly<Fetch>;

/** What a machine fetches by its starts, and how far that should be. */
export class Fetches {
  /** GB a second; known once the machine's type is. */
  rate = 0;
  private readonly running = new Map<string, Fetch>();
  private at: Instant = 0;

  begin(image: string, gb: number, now: Instant): void {
    this.advance(now);
    if (!this.running.has(image)) this.running.set(image, { gb, shared: 0, alone: 0 });
  }

  /** The image is there; what its fetch came to, if it was seen from its beginning. */
  end(image: string, now: Instant): Ended | undefined {
    this.advance(now);
    const fetch = this.running.get(image);
    this.running.delete(image);
    return fetch;
  }

  /** A machine gives a fetch up that no task waits for. */
  keepOnly(wanted: ReadonlyMap<string, number>, now: Instant): void {
    this.advance(now);
    for (const image of this.running.keys()) if (!wanted.has(image)) this.running.delete(image);
  }

  /**
   * How long one more task would wait for its image, among the images that are waited for
   * there. A shared rate is taken to be used for one image after the other.
   */
  delay(
    image: string,
    gb: number,
    wanted: ReadonlyMap<string, number>,
    shared: boolean,
    now: Instant,
  ): Duration {
    this.advance(now);
    let left = this.left(image, gb, shared);
    if (shared) left += this.before(image, wanted);
    return (left / Math.max(0.01, this.rate)) * 1000;
  }

  /** GB that are left of images whose turn comes sooner. */
  private before(image: string, wanted: ReadonlyMap<string, number>): number {
    let sum = 0;
    for (const [other, fetch] of this.running) {
      if (other === image) return sum;
      if (wanted.has(other)) sum += fetch.gb - fetch.shared;
    }
    // Those that are booked, but of which no start has left yet.
    for (const [other, gb] of wanted) {
      if (other !== image && !this.running.has(other)) sum += gb;
    }
    return sum;
  }

  private left(image: string, gb: number, shared: boolean): number {
    const fetch = this.running.get(image);
    if (!fetch) return gb;
    return Math.max(0, gb - (shared ? fetch.shared : fetch.alone));
  }

  private advance(now: Instant): void {
    if (now === this.at) return;
    const gb = ((now - this.at) / 1000) * this.rate;
    this.at = now;
    let rest = gb;
    for (const fetch of this.running.values()) {
      const part = Math.min(rest, fetch.gb - fetch.shared);
      fetch.shared += part;
      fetch.alone += gb;
      rest -= part;
    }
  }
}

/** Fetches beside others tell something only if the two views differ by this much. */
const TELLING = 1.5;
/** Below this part of its size an image must have been there before. */
const HAD_IT = 1 / 3;
const WEIGHT = 0.1;

/**
 * Whether several fetches at the same time share a machine's rate, which differs between
 * platforms: learnt from how long fetches take. Until then they are taken to share it,
 * since too many fetches on a large machine cost more than waiting for one of them.
 */
export class FetchSharing {
  likely = 1;

  get shared(): boolean {
    return this.likely >= 0.5;
  }

  note({ gb, shared, alone }: Ended): void {
    if (alone < gb * HAD_IT || alone < shared * TELLING) return;
    const off = (came: number) => Math.abs(Math.log(Math.max(came, 1e-6) / gb));
    this.likely += WEIGHT * ((off(shared) < off(alone) ? 1 : 0) - this.likely);
  }
}
