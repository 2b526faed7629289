/** Determines when workers' leases have certainly expired. */
import type { Duration, Instant } from '@tealdock/wire';
import { maxOnOtherClock } from '../runtime/clock-drift.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { GRANT_PREFIX } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import type { Machine } from './machine.js';
import { ObservedGrants } from './observed-grants.js';

/** Longest time that a response, which renews the lease, may take to reach the worker. */
const RESPONSE_DELAY_MARGIN_MS: Duration = 1500;
/**
 * Grants are read this often while a machine is late. A grant counts from when it is first read,
 * so one that is read late delays the expiry of the leases of all late machines.
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
 * Finds machines whose lease has certainly expired: a worker that has had no response for the
 * duration of its lease has killed all its tasks. Another node may have renewed the lease under a
 * grant, so grants are read first; a grant that this read does not return was given after the
 * lease had expired (docs/safety.md).
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

  /** Reads the grants if a lease may have expired, then reports the machines whose lease has. */
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

  /** Latest end of a worker's lease if its last answered heartbeat arrived at `renewedAt`. */
  leaseEnd(renewedAt: Instant): Instant {
    const duration = maxOnOtherClock(this.runtime.settings.workerLeaseDuration);
    return renewedAt + duration + RESPONSE_DELAY_MARGIN_MS;
  }

  private mustReadGrants(): boolean {
    if (this.expiredAt(this.runtime.now).length > 0) return true;
    const mayReadAgain = this.runtime.now - this.lastReadAt >= GRANT_READ_INTERVAL_MS;
    return mayReadAgain && this.isSomeMachineLate();
  }

  /** True if some machine is not reconciled, or is late while tasks are bound to it. */
  private isSomeMachineLate(): boolean {
    const maxSilence = this.runtime.settings.heartbeatInterval * MISSED_HEARTBEAT_COUNT;
    for (const { registration, heartbeats, bindings } of this.term.machines.values()) {
      if (!registration.isReconciled) return true;
      const renewedAt = heartbeats.lastLeaseRenewalAt ?? this.runtime.now;
      if (bindings.size > 0 && this.runtime.now - renewedAt > maxSilence) return true;
    }
    return false;
  }

  /**
   * Machines whose lease had expired at that instant. Leaves out reconciled and registered ones
   * without bindings, since nothing depends on their lease.
   */
  private expiredAt(instant: Instant): Machine[] {
    const expired: Machine[] = [];
    for (const machine of this.term.machines.values()) {
      const { registration, heartbeats, bindings } = machine;
      const isRelevant =
        !registration.isReconciled || bindings.size > 0 || !registration.isRegistered;
      const renewedAt = heartbeats.lastLeaseRenewalAt ?? this.term.electedAt;
      const lastPossibleRenewalAt = Math.max(renewedAt, this.grants.delegatedUntil);
      if (isRelevant && instant >= this.leaseEnd(lastPossibleRenewalAt)) expired.push(machine);
    }
    return expired;
  }
}
