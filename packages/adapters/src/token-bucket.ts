/** A token bucket with priorities. */
import { millisecondsOf, secondsOf, type Duration, type Instant } from '@tealdock/wire';

/** A clock and timers, which tests can simulate. */
export interface Clock {
  now: () => Instant;
  schedule: (delay: Duration, run: () => void) => void;
}

/** A request for tokens; exactly one of `run` and `drop` is called. */
export interface TokenRequest {
  /** Number of tokens to take; a request for 0 runs immediately. */
  cost: number;
  /** Requests with a lower number run first. */
  priority: number;
  /** The request is dropped once it has waited this long. */
  timeout: Duration;
  run: () => void;
  drop: () => void;
}

interface QueuedRequest extends TokenRequest {
  expiresAt: Instant;
}

/** Requests that may be queued at the same time; further ones are dropped immediately. */
const MAX_QUEUE_COUNT = 500;
const MIN_REFILL_DELAY_MS = 1;

/**
 * Limits the rate of calls to another service. Requests that find too few tokens are queued by
 * priority and dropped, without having run, when their timeout has passed.
 */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Instant;
  private readonly queue: QueuedRequest[] = [];
  private isRefillScheduled = false;

  constructor(
    private tokensPerSecond: number,
    private readonly burst: number,
    private readonly clock: Clock,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.now();
  }

  /** Changes the refill rate; the burst size stays the same. */
  setRate(tokensPerSecond: number): void {
    this.refill();
    this.tokensPerSecond = tokensPerSecond;
  }

  /** Runs the request as soon as there are enough tokens for it, possibly before returning. */
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
      // A cost above the burst is served from a full bucket, whose balance then becomes negative.
      const missing = Math.min(first.cost, this.burst) - this.tokens;
      if (first.expiresAt < this.clock.now()) first.drop();
      else if (missing > 0) return this.serveAfterRefill(missing);
      else {
        this.tokens -= first.cost;
        first.run();
      }
      this.queue.shift();
    }
  }

  private serveAfterRefill(missingTokens: number): void {
    if (this.isRefillScheduled) return;
    this.isRefillScheduled = true;
    const refillTime = millisecondsOf(missingTokens / this.tokensPerSecond);
    this.clock.schedule(Math.max(MIN_REFILL_DELAY_MS, refillTime), () => {
      this.isRefillScheduled = false;
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
