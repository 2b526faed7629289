/** Selects the machines that are returned to the cloud. */
import type { Duration } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../placement/fleet-policy.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { MachineInventory, ProvisioningMachine } from './machine-inventory.js';

/** The cloud charges for at least this long, so an idle machine is not returned earlier. */
const MIN_CHARGED_TIME_MS = 60_000;
/**
 * After a failover, all older work waits until the last machine is reconciled. So rented machines
 * that are not reconciled by this age of the term are returned if they are at most this fraction
 * of the fleet: a tiny fraction early, a larger one later.
 */
const FEW_UNRECONCILED_TIMEOUT_MS = 2000;
const FEW_UNRECONCILED_FRACTION = 0.01;
const UNRECONCILED_TIMEOUT_MS = 8000;
const UNRECONCILED_FRACTION = 0.05;
/**
 * A machine that is missing from the list is returned at this age of the term if it has not
 * renewed its lease in this term.
 */
const NEW_TERM_SILENCE_TIMEOUT_MS = 1500;
/** If it has, it is returned this many heartbeat intervals after the last renewal. */
const SILENCE_TIMEOUT_FACTOR = 1.5;
/**
 * Idle timeout of rented machines with the policy `fast`, which `auto` selects if any machines are
 * owned. An owned fleet is not paid by the second, so machines rented beside it are kept for longer.
 */
const FAST_IDLE_TIMEOUT_MS = 300_000;
/** A rented machine is returned after this many starts in a row that did not show up on it. */
const MAX_LOST_START_COUNT = 3;
/** Time that a boot may take beyond the operators' limit. */
const BOOT_MARGIN_MS = 5000;

/** Decides which machines to return; has no side effects. */
export class ReturnRules {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
    private readonly inventory: MachineInventory,
  ) {}

  /** Machines of the fleet to return now, without those that are being returned already. */
  machinesToReturn(): Machine[] {
    const includeUnreconciled = this.shouldReturnUnreconciled();
    return [...this.term.machines.values()].filter(
      (machine) =>
        !machine.registration.isReturning && this.shouldReturn(machine, includeUnreconciled),
    );
  }

  /** Ids of machines that failed or did not boot in time before any term gave them work. */
  neverUsedMachines(): string[] {
    const failed = [...this.inventory.listedMachines]
      .filter(([id, { state }]) => state === 'failed' && !this.isInFleetOrTerminated(id))
      .map(([id]) => id);
    const neverUp = [...this.inventory.provisioning]
      .filter(([, machine]) => this.isBootOverdue(machine))
      .map(([id]) => id);
    return [...failed, ...neverUp];
  }

  /** Whether the machine has no bindings, and none of its heartbeats counted for a whole lease. */
  isInactive(machine: Machine): boolean {
    const { heartbeats, registration, bindings } = machine;
    const observedAt = Math.min(registration.firstObservedAt, this.runtime.now);
    const lastCountedAt = heartbeats.lastCountedAt ?? Math.max(this.term.electedAt, observedAt);
    return bindings.size === 0 && this.runtime.now > this.term.leaseExpiry.leaseEnd(lastCountedAt);
  }

  private isInFleetOrTerminated(id: string): boolean {
    return this.term.machines.has(id) || this.term.machineRegistry.isTerminated(id);
  }

  private isBootOverdue({ type, requestedAt }: ProvisioningMachine): boolean {
    const boot = this.catalog.types.find(({ name }) => name === type)?.boot;
    if (boot === undefined) return false;
    const limit = boot * this.runtime.operator.fleet.bootTimeoutFactor + BOOT_MARGIN_MS;
    return this.runtime.now - requestedAt > limit;
  }

  private shouldReturn(machine: Machine, includeUnreconciled: boolean): boolean {
    const { id, health, registration } = machine;
    const hasFailed = this.inventory.listedMachines.get(id)?.state === 'failed';
    if (hasFailed || this.hasVanished(machine)) return true;
    if (this.inventory.isOwned(id) || !this.inventory.isOwnershipKnown) return false;
    if (health.consecutiveLostStartCount >= MAX_LOST_START_COUNT) return true;
    if (!registration.isReconciled) return includeUnreconciled;
    return this.isInactive(machine) || this.isLongIdle(machine);
  }

  /**
   * Whether the machine is silent, and missing from the list although it should be on it. This
   * does not prove that the machine is terminated; the answer to its return does.
   */
  private hasVanished({ id, heartbeats, registration }: Machine): boolean {
    const { listCompleteUntil, listedMachines } = this.inventory;
    if (listCompleteUntil === null || listedMachines.has(id)) return false;
    if (this.timeSinceLeaseRenewal(heartbeats.lastLeaseRenewalAt) < this.maxSilence(heartbeats))
      return false;
    return listCompleteUntil > registration.firstObservedAt;
  }

  private timeSinceLeaseRenewal(lastLeaseRenewalAt: number | null): Duration {
    return this.runtime.now - (lastLeaseRenewalAt ?? this.term.electedAt);
  }

  /** Time after which a machine counts as silent. Workers find the leader of a new term soon. */
  private maxSilence({ lastLeaseRenewalAt }: Machine['heartbeats']): Duration {
    if (lastLeaseRenewalAt === null) return NEW_TERM_SILENCE_TIMEOUT_MS;
    return this.runtime.settings.heartbeatInterval * SILENCE_TIMEOUT_FACTOR;
  }

  /**
   * Whether to return rented machines that are not reconciled, since they are few. The answers to
   * their returns prove their termination sooner than their leases would expire.
   */
  private shouldReturnUnreconciled(): boolean {
    const termAge = this.runtime.now - this.term.electedAt;
    if (termAge < FEW_UNRECONCILED_TIMEOUT_MS) return false;
    const unreconciledCount = this.term.unreconciledMachines().length;
    const machineCount = this.term.machines.size;
    // In a small fleet, the last such machine is more likely slow than failed, and costly to lose.
    if (termAge < UNRECONCILED_TIMEOUT_MS)
      return unreconciledCount <= machineCount * FEW_UNRECONCILED_FRACTION;
    return unreconciledCount <= Math.max(1, machineCount * UNRECONCILED_FRACTION);
  }

  private isLongIdle({ id, usage, heartbeats }: Machine): boolean {
    if (usage.idleSince === null || heartbeats.preemptionDeadline !== null) return false;
    const { idleTimeout } = this.runtime.operator.fleet;
    const minIdleTime = this.inventory.policy === 'fast' ? FAST_IDLE_TIMEOUT_MS : idleTimeout;
    const age = this.inventory.listedMachines.get(id)?.age ?? Infinity;
    return this.runtime.now - usage.idleSince >= minIdleTime && age >= MIN_CHARGED_TIME_MS;
  }
}
