/** The lease of the state service that keeps the leader key in place. */
import type { Instant } from '@tealdock/wire';
import { minOnOtherClock } from '../runtime/clock-drift.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

/** The lease counts as over this long before it can end at the state service. */
const EXPIRY_MARGIN_MS = 100;

/**
 * A lease granted by the state service, as this node may rely on it. Its validity is counted
 * from the moment at which a grant or renewal was sent, so a slow answer never extends it.
 */
export class ElectionLease {
  private leaseId: number | null = null;
  private expiresAt: Instant = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  /** A lease was granted and is not known to have ended; it may have expired all the same. */
  get isHeld(): boolean {
    return this.leaseId !== null;
  }

  /** Up to this instant the state service surely keeps the lease. */
  get validUntil(): Instant {
    return this.expiresAt;
  }

  /** Uses the lease while it is valid, else asks for a new one; null if none was granted. */
  obtain(onResult: (leaseId: number | null) => void): void {
    if (this.leaseId !== null && this.runtime.now < this.expiresAt) {
      return onResult(this.leaseId);
    }
    const sentAt = this.runtime.now;
    this.state.grantLease(this.runtime.operator.leadership.leaseDuration, (grant) => {
      if (grant.kind === 'failed') return onResult(null);
      this.leaseId = grant.leaseId;
      this.expiresAt = 0;
      this.extendFrom(sentAt);
      onResult(grant.leaseId);
    });
  }

  /** Renews the lease if there is one; a failed renewal changes nothing and is not retried. */
  renew(onEnded: () => void): void {
    const { leaseId } = this;
    if (leaseId === null) return;
    const sentAt = this.runtime.now;
    this.state.renewLease(leaseId, (renewal) => {
      if (this.leaseId !== leaseId) return;
      if (renewal === 'ok') this.extendFrom(sentAt);
      else if (renewal === 'ended') onEnded();
    });
  }

  /** Asks the state service to end the lease at once; the answer is not waited for. */
  revoke(): void {
    if (this.leaseId !== null) this.state.revokeLease(this.leaseId);
  }

  /** Forgets the lease: it has ended, or is not wanted any more. */
  forget(): void {
    this.leaseId = null;
    this.expiresAt = 0;
  }

  private extendFrom(sentAt: Instant): void {
    const { leaseDuration } = this.runtime.operator.leadership;
    const end = sentAt + minOnOtherClock(leaseDuration) - EXPIRY_MARGIN_MS;
    this.expiresAt = Math.max(this.expiresAt, end);
  }
}
