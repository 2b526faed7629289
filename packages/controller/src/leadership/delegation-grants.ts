/** Grants under which a follower may renew workers' leases for the leader. */
import type { Instant } from '@tealdock/wire';
import { minOnOtherClock } from '../runtime/clock-drift.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { GRANT_PREFIX, LEADER_KEY } from '../state/keys.js';
import type { GrantValue } from '../state/stored-values.js';
import type { StateStore } from '../state/state-store.js';
import type { Leadership } from './leadership.js';

/** A grant allows answers for this long from the moment at which it was requested. */
export const GRANT_DURATION_MS = 6000;
/** A grant counts as over this long before it can end for a leader. */
const GRANT_EXPIRY_MARGIN_MS = 100;
/** A new grant is requested when less than this is left of the current one. */
const GRANT_RENEWAL_LEAD_MS = 3000;

/** The right to answer under the leader's fencing token up to an instant. */
export interface DelegationGrant {
  fencingToken: number;
  validUntil: Instant;
}

/**
 * Obtains grants by a write to the state service that is guarded by the leader key: it fails
 * once another leader was elected. Leaders read the grants before they take a worker's lease
 * to have expired (docs/safety.md).
 */
export class DelegationGrants {
  private grant: DelegationGrant | null = null;
  private requestInProgress = false;
  private readonly waitingForRequest: (() => void)[] = [];

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
  ) {}

  /** A grant that is valid now, requested if needed; null if none could be obtained. */
  obtain(onResult: (grant: DelegationGrant | null) => void): void {
    const isOfThisTerm = this.grant?.fencingToken === this.leadership.leaderFencingToken;
    const grant = isOfThisTerm ? this.grant : null;
    const timeLeft = (grant?.validUntil ?? -Infinity) - this.runtime.now;
    if (timeLeft < GRANT_RENEWAL_LEAD_MS) this.request();
    if (timeLeft > 0) return onResult(grant);
    this.waitingForRequest.push(() => onResult(this.grant));
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
      // Counted from the send, so that it ends here before it ends for any leader.
      const validUntil = sentAt + minOnOtherClock(GRANT_DURATION_MS) - GRANT_EXPIRY_MARGIN_MS;
      this.grant = granted ? { fencingToken, validUntil } : null;
      this.runtime.log('info', { fencingToken, granted }, 'lease renewal delegated');
      for (const resume of this.waitingForRequest.splice(0)) resume();
    });
  }
}
