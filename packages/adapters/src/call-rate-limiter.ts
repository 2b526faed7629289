/** Rate limits for calls to the outside services. */
import type { Settings } from '@tealdock/wire';
import type { Call } from '@tealdock/controller';
import { TokenBucket, type Clock } from './token-bucket.js';

/** Each node may use this fraction of what the outside services allow to all. */
const STATE_RATE_FRACTION = 0.5;
const CLOUD_RATE_FRACTION = 0.8;
/** A call that waited this fraction of its timeout for a token is better dropped. */
const MAX_WAIT_FRACTION = 0.6;

/** Holds calls back to what the outside services allow, the more urgent ones first. */
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
    this.stateCalls = this.bucket(state.requestsPerSecond * STATE_RATE_FRACTION);
    this.stateWrites = this.bucket(
      state.writesPerSecond * STATE_RATE_FRACTION,
      state.maxTransactionWrites,
    );
    this.cloudCalls = this.bucket(cloud.requestsPerSecond * CLOUD_RATE_FRACTION);
  }

  /** Which fraction of the state service's changes per second this node may use from now on. */
  setWriteFraction(fraction: number): void {
    this.stateWrites.setRate(this.state.writesPerSecond * fraction);
  }

  /** Sends the call once there are tokens for it, or drops it unsent when that takes too long. */
  submit(call: Call, send: () => void, drop: () => void): void {
    const { priority } = call;
    const timeout = call.timeout * MAX_WAIT_FRACTION;
    const take = (bucket: TokenBucket, cost: number, run: () => void) =>
      bucket.take({ cost, priority, timeout, run, drop });
    if (call.target === 'peer' || call.target === 'worker') send();
    else if (call.target === 'cloud') take(this.cloudCalls, 1, send);
    else take(this.stateWrites, call.writeCount, () => take(this.stateCalls, 1, send));
  }

  private bucket(tokensPerSecond: number, minBurst = 1): TokenBucket {
    return new TokenBucket(tokensPerSecond, Math.max(tokensPerSecond, minBurst), this.clock);
  }
}
