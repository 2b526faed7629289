/** Token buckets with priorities. */
import type { Instant } from '@tealdock/wire';

interface Waiting {
  cost: number;
  priority: number;
  expires: Instant;
  run: () => void;
  drop: () => void;
}

/** Rooms for at most this many waiting calls; the newest beyond it are dropped. */
const MOST_WAITING = 500;

/**
 * Tokens for calls to an outside service. A call that finds none waits in order
 * of priority, and is dropped, never sent, once it would come too late.
 */
export class TokenBucket {
  private tokens: number;
  private filled: Instant;
  private waiting: Waiting[] = [];
  private asleep = false;

  constructor(
    private rate: number,
    private readonly burst: number,
    private readonly now: () => Instant,
    private readonly wake: (delay: number, run: () => void) => void,
  ) {
    this.tokens = burst;
    this.filled = now();
  }

  /** Tokens per second from now on; the burst stays as it is. */
  setRate(rate: number): void {
    this.fill();
    this.rate = rate;
  }

  take(cost: number, priority: number, patience: number, run: () => void, drop: () => void): void {
    if (cost === 0) return run();
    const entry = { cost, priority, expires: this.now() + patience, run, drop };
    if (this.waiting.length >= MOST_WAITING) return drop();
    const at = this.waiting.findIndex((w) => w.priority > priority);
    this.waiting.splice(at < 0 ? this.waiting.length : at, 0, entry);
    this.drain();
  }

  private drain(): void {
    this.fill();
    for (let first = this.waiting[0]; first; first = this.waiting[0]) {
      const missing = Math.min(first.cost, this.burst) - this.tokens;
      if (first.expires < this.now()) first.drop();
      else if (missing > 0) return this.sleep(Math.max(1, (missing / this.rate) * 1000));
      else {
        this.tokens -= first.cost;
        first.run();
      }
      this.waiting.shift();
    }
  }

  private sleep(delay: number): void {
    if (this.asleep) return;
    this.asleep = true;
    this.wake(delay, () => {
      this.asleep = false;
      this.drain();
    });
  }

  private fill(): void {
    const now = this.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.filled) / 1000) * this.rate);
    this.filled = now;
  }
}
