/** Rate limits for calls to the state service and the cloud. */
import type { Settings } from '@tealdock/wire';
import type { Call } from '@tealdock/controller';
import { TokenBucket, type Clock } from './token-bucket.js';

/** One node's fractions of the rate limits, which the services apply to all nodes together. */
const STATE_RATE_FRACTION = 0.5;
const CLOUD_RATE_FRACTION = 0.8;
/**
 * A call that has waited in a bucket for this fraction of its timeout is dropped, since it would
 * come too late.
 */
const MAX_WAIT_FRACTION = 0.6;

/** Delays calls to the state service and the cloud to stay below their limits, by priority. */
export class CallRateLimiter {
  private readonly stateCalls: TokenBucket;
  private readonly stateWrites: TokenBucket;
  private readonly cloudCalls: TokenBucket;
  private readonly state: Settings['state'];

  constructor(
    { state, cloud }: Pick<Settings, 'state' | 'cloud'>,
    private readonly clock: Clock,
  ) {
    this.state = state;
    this.stateCalls = this.newBucket(state.requestsPerSecond * STATE_RATE_FRACTION);
    this.stateWrites = this.newBucket(
      state.writesPerSecond * STATE_RATE_FRACTION,
      state.maxTransactionWrites,
    );
    this.cloudCalls = this.newBucket(cloud.requestsPerSecond * CLOUD_RATE_FRACTION);
  }

  /** Sets the fraction of the state service's writes per second that this node may use. */
  setWriteFraction(fraction: number): void {
    this.stateWrites.setRate(this.state.writesPerSecond * fraction);
  }

  /** Calls `send` once there are tokens for the call, or `drop` if that takes too long. */
  submit(call: Call, send: () => void, drop: () => void): void {
    const { priority } = call;
    const timeout = call.timeout * MAX_WAIT_FRACTION;
    const take = (bucket: TokenBucket, cost: number, run: () => void) =>
      bucket.take({ cost, priority, timeout, run, drop });
    if (call.target === 'peer' || call.target === 'worker') send();
    else if (call.target === 'cloud') take(this.cloudCalls, 1, send);
    else take(this.stateWrites, call.writeCount, () => take(this.stateCalls, 1, send));
  }

  private newBucket(tokensPerSecond: number, minBurst = 1): TokenBucket {
    return new TokenBucket(tokensPerSecond, Math.max(tokensPerSecond, minBurst), this.clock);
  }
}
