/** Token buckets with priorities. */
import { millisecondsOf, secondsOf, type Duration, type Instant } from '@tealdock/wire';

/** Time and timers, so that tests can simulate them. */
export interface Clock {
  now: () => Instant;
  schedule: (delay: Duration, run: () => void) => void;
}

/** A call that waits for tokens; exactly one of `run` and `drop` is called. */
export interface TokenRequest {
  /** Tokens that it takes; one of 0 runs at once. */
  cost: number;
  /** Lower goes first. */
  priority: number;
  /** It is dropped once it has waited this long. */
  timeout: Duration;
  run: () => void;
  drop: () => void;
}

interface QueuedRequest extends TokenRequest {
  expiresAt: Instant;
}

/** Calls that may wait at a time; the newest beyond it are dropped. */
const MAX_QUEUE_COUNT = 500;
const MIN_SLEEP_MS = 1;

/**
 * Tokens for calls to an outside service. A call that finds none waits in order
 * of priority, and is dropped, never sent, once it would come too late.
 */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Instant;
  private readonly queue: QueuedRequest[] = [];
  private isSleeping = false;

  constructor(
    private tokensPerSecond: number,
    private readonly burst: number,
    private readonly clock: Clock,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.now();
  }

  /** Tokens per second from now on; the burst stays as it is. */
  setRate(tokensPerSecond: number): void {
    this.refill();
    this.tokensPerSecond = tokensPerSecond;
  }

  /** Runs the call once there are tokens for it, at once where there are enough. */
  take(request: TokenRequest): void {
    if (request.cost === 0) return request.run();
    const expiresAt = this.clock.now() + request.timeout;
    if (this.queue.length >= MAX_QUEUE_COUNT) return request.drop();
    const index = this.queue.findIndex((queued) => queued.priority > request.priority);
    this.queue.splice(index < 0 ? this.queue.length : index, 0, { ...request, expiresAt });
    this.serveQueue();
  }

  private serveQueue(): void {
    this.refill();
    for (let first = this.queue[0]; first; first = this.queue[0]) {
      // A cost beyond the burst is served by a full bucket, which then owes the rest.
      const missing = Math.min(first.cost, this.burst) - this.tokens;
      if (first.expiresAt < this.clock.now()) first.drop();
      else if (missing > 0) return this.sleep(missing);
      else {
        this.tokens -= first.cost;
        first.run();
      }
      this.queue.shift();
    }
  }

  private sleep(missingTokens: number): void {
    if (this.isSleeping) return;
    this.isSleeping = true;
    const refillTime = millisecondsOf(missingTokens / this.tokensPerSecond);
    this.clock.schedule(Math.max(MIN_SLEEP_MS, refillTime), () => {
      this.isSleeping = false;
      this.serveQueue();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    const elapsedSeconds = secondsOf(now - this.refilledAt);
    this.tokens = Math.min(this.burst, this.tokens + elapsedSeconds * this.tokensPerSecond);
    this.refilledAt = now;
  }
}
