/** The state service lease that the leader key is attached to. */
import type { Instant } from '@tealdock/wire';
import { minOnOtherClock } from '../runtime/clock-drift.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

/** Safety margin: the lease expires here this long before it can expire at the state service. */
const EXPIRY_MARGIN_MS = 100;

/**
 * A lease granted by the state service, with a conservative estimate of its expiry. Validity is
 * counted from the moment at which a grant or renewal request was sent, so a slow response never
 * extends it.
 */
export class ElectionLease {
  private leaseId: number | null = null;
  private expiresAt: Instant = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
  ) {}

  /** True if a lease was granted and is not known to have ended. It may still have expired. */
  get isHeld(): boolean {
    return this.leaseId !== null;
  }

  /** The state service is certain to keep the lease until this instant; 0 without a lease. */
  get validUntil(): Instant {
    return this.expiresAt;
  }

  /** Calls back with the id of the current lease if valid, else of a new one; null on failure. */
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

  /**
   * Renews the lease if there is one. A failed renewal changes nothing and is not retried;
   * `onEnded` is called if the state service no longer has the lease.
   */
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

  /** Asks the state service to end the lease now; does not wait for the response. */
  revoke(): void {
    if (this.leaseId !== null) this.state.revokeLease(this.leaseId);
  }

  /** Forgets the lease, because it has ended or is no longer needed. */
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
