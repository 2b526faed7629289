/** Finds out when workers' leases have surely expired. */
import type { Duration, Instant } from '@tealdock/wire';
import { maxOnOtherClock } from '../runtime/clock-drift.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { GRANT_PREFIX } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import type { Machine } from './machine.js';
import { ObservedGrants } from './observed-grants.js';

/** Time that a response, which renews the lease, may be on its way to the worker. */
const RESPONSE_DELAY_MARGIN_MS: Duration = 1500;
/**
 * Grants are read this often while a machine is late: a grant counts from when it is first
 * seen, and one that is seen late puts off the expiry of all late machines' leases.
 */
const GRANT_READ_INTERVAL_MS: Duration = 3000;
/** A machine is late once this many heartbeats are missing. */
const MISSED_HEARTBEAT_COUNT = 2;

/** The part of a term that lease expiry reads. */
interface RegisteredMachines {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly electedAt: Instant;
  readonly closed: boolean;
}

/**
 * Finds machines whose lease has surely expired. A worker without a response for its whole
 * lease has killed all its tasks. Another node may have renewed the lease under a grant, so
 * grants are read first; one that this read does not show was given after the lease had
 * expired (docs/safety.md).
 */
export class LeaseExpiry {
  private readonly grants: ObservedGrants;
  private isReading = false;
  private lastReadAt: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: RegisteredMachines,
    private readonly onExpired: (expired: Machine[]) => void,
  ) {
    this.grants = new ObservedGrants(runtime, state);
  }

  /** Reads the grants if a lease may have expired, and reports the leases that have. */
  check(): void {
    if (this.isReading || !this.mustReadGrants()) return;
    this.isReading = true;
    const askedAt = this.runtime.now;
    this.lastReadAt = askedAt;
    this.state.readAll(GRANT_PREFIX, PRIORITY.leader, (read) => {
      this.isReading = false;
      if (read.kind === 'failed' || this.term.closed) return;
      for (const item of read.items) this.grants.record(item);
      const expired = this.expiredAt(askedAt);
      if (expired.length > 0) this.onExpired(expired);
    });
  }

  /** The end of a worker's lease if its last answered heartbeat arrived at `renewedAt`. */
  leaseEnd(renewedAt: Instant): Instant {
    const duration = maxOnOtherClock(this.runtime.settings.workerLeaseDuration);
    return renewedAt + duration + RESPONSE_DELAY_MARGIN_MS;
  }

  private mustReadGrants(): boolean {
    if (this.expiredAt(this.runtime.now).length > 0) return true;
    const mayReadAgain = this.runtime.now - this.lastReadAt >= GRANT_READ_INTERVAL_MS;
    return mayReadAgain && this.isSomeMachineLate();
  }

  /** Some machine that matters is late, or has sent no heartbeat in this term. */
  private isSomeMachineLate(): boolean {
    const maxSilence = this.runtime.settings.heartbeatInterval * MISSED_HEARTBEAT_COUNT;
    for (const { registration, heartbeats, bindings } of this.term.machines.values()) {
      if (!registration.isReconciled) return true;
      const renewedAt = heartbeats.lastLeaseRenewalAt ?? this.runtime.now;
      if (bindings.size > 0 && this.runtime.now - renewedAt > maxSilence) return true;
    }
    return false;
  }

  /** Machines whose lease had expired at that instant, where something depends on it. */
  private expiredAt(instant: Instant): Machine[] {
    const expired: Machine[] = [];
    for (const machine of this.term.machines.values()) {
      const { registration, heartbeats, bindings } = machine;
      const matters = !registration.isReconciled || bindings.size > 0 || !registration.isRegistered;
      const renewedAt = heartbeats.lastLeaseRenewalAt ?? this.term.electedAt;
      const mayBeRenewedAt = Math.max(renewedAt, this.grants.delegatedUntil);
      if (matters && instant >= this.leaseEnd(mayBeRenewedAt)) expired.push(machine);
    }
    return expired;
  }
}
