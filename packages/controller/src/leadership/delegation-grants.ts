/** Grants that allow a follower to renew worker leases on behalf of the leader. */
import type { Instant } from '@tealdock/wire';
import { minOnOtherClock } from '../runtime/clock-drift.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { GRANT_PREFIX, LEADER_KEY } from '../state/keys.js';
import type { GrantValue } from '../state/stored-values.js';
import type { StateStore } from '../state/state-store.js';
import type { Leadership } from './leadership.js';

/** A grant is valid for this long from the moment at which it was requested. */
export const GRANT_DURATION_MS = 6000;
/** Safety margin: a grant expires here this long before it can expire for any leader. */
const GRANT_EXPIRY_MARGIN_MS = 100;
/** A new grant is requested once the current one is valid for less than this. */
const GRANT_RENEWAL_LEAD_MS = 3000;

/** Permission to answer heartbeats with the leader's fencing token until `validUntil`. */
export interface DelegationGrant {
  fencingToken: number;
  validUntil: Instant;
}

/**
 * Obtains grants by writes to the state service. The precondition on the leader key makes the write
 * fail once another leader has been elected. Leaders read the grants before they treat a worker's
 * lease as expired (docs/safety.md).
 */
export class DelegationGrants {
  private grant: DelegationGrant | null = null;
  private requestInProgress = false;
  private readonly waitingCallbacks: (() => void)[] = [];

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
  ) {}

  /**
   * Calls back with a grant, requested if needed; null if the request failed. A requested grant may
   * have expired before its response arrives, so replies under it carry its `validUntil`.
   */
  obtain(onResult: (grant: DelegationGrant | null) => void): void {
    const isOfThisTerm = this.grant?.fencingToken === this.leadership.leaderFencingToken;
    const grant = isOfThisTerm ? this.grant : null;
    const timeLeft = (grant?.validUntil ?? -Infinity) - this.runtime.now;
    if (timeLeft < GRANT_RENEWAL_LEAD_MS) this.request();
    if (timeLeft > 0) return onResult(grant);
    this.waitingCallbacks.push(() => onResult(this.grant));
  }

  private request(): void {
    if (this.requestInProgress) return;
    this.requestInProgress = true;
    const fencingToken = this.leadership.leaderFencingToken ?? 0;
    const sentAt = this.runtime.now;
    const value: GrantValue = { token: fencingToken, at: this.runtime.wallClock.getTime() };
    const write = { put: `${GRANT_PREFIX}${this.runtime.settings.member}`, value };
    const precondition = { key: LEADER_KEY, version: fencingToken };
    this.state.compareAndSwap([precondition], [write], PRIORITY.lease, (commit) => {
      this.requestInProgress = false;
      const granted = commit.kind === 'ok';
      // Counted from the sending, so that the grant expires here before it expires for any leader.
      const validUntil = sentAt + minOnOtherClock(GRANT_DURATION_MS) - GRANT_EXPIRY_MARGIN_MS;
      this.grant = granted ? { fencingToken, validUntil } : null;
      this.runtime.log('info', { fencingToken, granted }, 'lease renewal delegated');
      for (const resume of this.waitingCallbacks.splice(0)) resume();
    });
  }
}
