/** Holds calls to the outside back to what it allows. */
import type { Duration, Instant, Settings } from '@tealdock/wire';
import type { Call } from '@tealdock/controller';
import { TokenBucket } from './token-bucket.js';

/** Each node may use this part of what the outside services allow to all. */
const STATE_PART = 0.5;
const CLOUD_PART = 0.8;
/** A call that waited this part of its time for a token is better dropped. */
const WAIT_PART = 0.6;

/** Time as the gates see it, so that tests can simulate it. */
export interface Clock {
  now: () => Instant;
  wake: (delay: Duration, run: () => void) => void;
}

/** Holds calls back to what the outside services allow, the more urgent ones first. */
export class CallGates {
  private readonly stateCalls: TokenBucket;
  private readonly stateWrites: TokenBucket;
  private readonly cloudCalls: TokenBucket;
  private readonly state: Settings['state'];

  constructor(
    { state, cloud }: Pick<Settings, 'state' | 'cloud'>,
    private readonly clock: Clock,
  ) {
    this.state = state;
    this.stateCalls = this.bucket(state.requestsPerSecond * STATE_PART);
    this.stateWrites = this.bucket(state.writesPerSecond * STATE_PART, state.maxTransactionWrites);
    this.cloudCalls = this.bucket(cloud.requestsPerSecond * CLOUD_PART);
  }

  /** Which fraction of the state service's changes per second this node may use from now on. */
  setWriteFraction(fraction: number): void {
    this.stateWrites.setRate(this.state.writesPerSecond * fraction);
  }

  /** Sends the call once there are tokens for it, or drops it unsent when that takes too long. */
  pass(call: Call, send: () => void, drop: () => void): void {
    const patience = call.timeout * WAIT_PART;
    const take = (b: TokenBucket, cost: number, run: () => void) =>
      b.take(cost, call.priority, patience, run, drop);
    if (call.target === 'peer' || call.target === 'worker') send();
    else if (call.target === 'cloud') take(this.cloudCalls, 1, send);
    else take(this.stateWrites, call.writeCount, () => take(this.stateCalls, 1, send));
  }

  private bucket(rate: number, least = 1): TokenBucket {
    return new TokenBucket(rate, Math.max(rate, least), this.clock.now, this.clock.wake);
  }
}
