/** Periodic checks of a term's machines: missing heartbeats, idleness and expired leases. */
import type { Leadership } from '../leadership/leadership.js';
import { LeaseExpiry } from '../machines/lease-expiry.js';
import type { Machine } from '../machines/machine.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import type { Bindings } from './bindings.js';
import type { Fleet } from './fleet.js';
import type { TermView } from './term-view.js';
import type { WorkerCommands } from './worker-commands.js';

const CHECK_INTERVAL_MS = 1000;
/** Undispatched bindings end after this many intervals without a counted heartbeat. */
const UNDISPATCHED_TIMEOUT_FACTOR = 1.8;

/** The part of a term that the checks read. */
export interface MaintainedTerm extends TermView {
  readonly allMachinesReconciled: boolean;
}

/** The parts of a term that the checks change. */
export interface MaintenanceTargets {
  readonly fleet: Fleet;
  readonly bindings: Bindings;
  readonly workerCommands: WorkerCommands;
}

/** Checks all machines of a term every second while the leader lease is certainly valid. */
export class MachineMaintenance {
  readonly leaseExpiry: LeaseExpiry;
  private isReconciledLogged = false;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: MaintainedTerm,
    private readonly targets: MaintenanceTargets,
  ) {
    this.leaseExpiry = new LeaseExpiry(runtime, state, term, (expired) => this.endExpired(expired));
  }

  /** Starts the checks, which run until the term closes. */
  start(): void {
    this.runtime.every(CHECK_INTERVAL_MS, () => {
      if (!this.term.closed) this.check();
      return !this.term.closed;
    });
  }

  private check(): void {
    // No heartbeat is answered while the leader lease may have expired, so a missing heartbeat
    // proves nothing.
    if (!this.leadership.validLease()) return;
    this.logReconciled();
    this.targets.workerCommands.updateMinTaskResources();
    if (this.term.stateLoaded) this.leaseExpiry.check();
    for (const machine of this.term.machines.values()) this.checkMachine(machine);
  }

  private checkMachine(machine: Machine): void {
    machine.usage.accumulateComputeTime(CHECK_INTERVAL_MS);
    const timeoutMs = this.runtime.settings.heartbeatInterval * UNDISPATCHED_TIMEOUT_FACTOR;
    const { lastCountedAt, preemptionDeadline } = machine.heartbeats;
    const silenceMs = this.runtime.now - (lastCountedAt ?? this.term.electedAt);
    const isLeaving = machine.registration.isReturning || preemptionDeadline !== null;
    if (silenceMs > timeoutMs || isLeaving) this.targets.bindings.releaseUndispatched(machine);
    machine.usage.updateIdle(this.runtime.now);
  }

  /** Logs, once in a term, that all machines are reconciled and thus every job may be placed. */
  private logReconciled(): void {
    if (this.isReconciledLogged || !this.term.allMachinesReconciled) return;
    this.isReconciledLogged = true;
    const { fencingToken, electedAt } = this.term;
    const tookMs = this.runtime.now - electedAt;
    this.runtime.stats.record('takeover.ready_ms', tookMs);
    const fields = { fencingToken, tookMs: Math.round(tookMs) };
    this.runtime.log('info', fields, 'machine registry reconciled');
  }

  /** Ends bindings on machines whose leases have certainly expired: all their tasks are killed. */
  private endExpired(expired: Machine[]): void {
    const { bindings, fleet } = this.targets;
    const machines = expired.map(({ id }) => id);
    this.runtime.log('info', { machines }, 'worker leases expired');
    for (const machine of expired) {
      bindings.endDispatched(machine, 'lease ran out');
      machine.registration.markReconciled();
      // The machine was known only from a late heartbeat and never registered: it had no tasks.
      if (!machine.registration.isRegistered && machine.bindings.size === 0)
        fleet.remove(machine.id);
    }
  }
}
