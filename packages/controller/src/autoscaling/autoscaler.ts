/** Autoscaling: rents machines for the backlog, and returns those that are not needed. */
import { MAX_RENTAL_COUNT, type Duration, type MachineType } from '@tealdock/wire';
import { planRentals, type MachinePool } from '@tealdock/scheduler';
import type { Leadership } from '../leadership/leadership.js';
import type { Machine } from '../machines/machine.js';
import type { FleetPolicy, MachineTypes } from '../placement/fleet-policy.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import type { Term } from '../term/term.js';
import { CloudCalls } from './cloud-calls.js';
import { FleetCapacity } from './fleet-capacity.js';
import { FleetPricing } from './fleet-pricing.js';
import { MachineInventory } from './machine-inventory.js';
import { MachineReturns } from './machine-returns.js';
import { RentalBacklog } from './rental-backlog.js';
import { RentalRequests, poolKey } from './rental-requests.js';
import { ReturnRules } from './return-rules.js';

const LIST_CHECK_INTERVAL_MS = 3000;
const SCALE_OUT_INTERVAL_MS = 1000;
const SCALE_IN_INTERVAL_MS = 300;
/** Limit of machines that one plan rents. */
const MAX_PLANNED_RENTAL_COUNT = 400;
/** Age of a term from which on it scales out even if some machines are not reconciled. */
const RECONCILIATION_TIMEOUT_MS = 15_000;

/** Scales out for the backlog, and scales in by returning machines that are not needed. */
export class Autoscaler implements FleetPolicy {
  private readonly inventory: MachineInventory;
  private readonly pricing: FleetPricing;
  private readonly backlog: RentalBacklog;
  private readonly rentals: RentalRequests;
  private readonly capacity: FleetCapacity;
  private readonly returns: MachineReturns;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
  ) {
    const cloud = new CloudCalls(runtime, term);
    const inventory = new MachineInventory(runtime, state, leadership, term, cloud);
    const returnRules = new ReturnRules(runtime, term, catalog, inventory);
    const onAllAnswered = () => this.scaleOutAgain();
    const rentals = new RentalRequests({
      runtime,
      term,
      catalog,
      cloud,
      inventory,
      onAllAnswered,
    });
    this.inventory = inventory;
    this.pricing = new FleetPricing(catalog, inventory);
    this.backlog = new RentalBacklog(runtime, term, catalog, inventory);
    this.rentals = rentals;
    this.capacity = new FleetCapacity({
      runtime,
      term,
      catalog,
      inventory,
      rentals,
      returnRules,
    });
    this.returns = new MachineReturns(runtime, term, returnRules, cloud, inventory);
  }

  /** Starts the periodic checks, which run until the term ends. */
  start(): void {
    this.inventory.start();
    this.repeat(LIST_CHECK_INTERVAL_MS, () => this.inventory.refreshList());
    this.repeat(SCALE_IN_INTERVAL_MS, () => this.returns.scaleIn());
    this.repeat(SCALE_OUT_INTERVAL_MS, () => this.scaleOut());
  }

  /** See `FleetPolicy`. */
  marginalPrice(machine: Machine, type: MachineType): number {
    return this.pricing.marginalPrice(machine, type);
  }

  /** See `FleetPolicy`. */
  canScaleOut(): boolean {
    return this.rentals.offerings().length > 0;
  }

  /** See `FleetPolicy`. */
  shouldConsolidate(): boolean {
    return this.inventory.policy === 'frugal';
  }

  /** Calls `run` at each interval until the term ends, but only while the lease is valid. */
  private repeat(interval: Duration, run: () => void): void {
    this.runtime.every(interval, () => {
      if (this.mayAct()) run();
      return !this.term.closed;
    });
  }

  private mayAct(): boolean {
    return !this.term.closed && this.leadership.validLease() !== null;
  }

  private scaleOut(): void {
    if (!this.term.stateLoaded || !this.inventory.isOwnershipKnown) return;
    if (this.catalog.types.length === 0) return;
    this.rentals.repeatUnanswered();
    this.rentForBacklog();
  }

  /**
   * Rents what the backlog still lacks once all requests are answered, without waiting for the
   * next check. Pools that refused a request are replaced by others.
   */
  private scaleOutAgain(): void {
    if (this.mayAct() && this.rentals.pending.length === 0) this.rentForBacklog();
  }

  private rentForBacklog(): void {
    if (!this.isBacklogKnown()) return;
    const maxMachines = Math.min(MAX_PLANNED_RENTAL_COUNT, this.capacity.unusedWorkerSocketCount());
    const backlog = this.backlog.entries();
    const offerings = this.rentals.offerings();
    const plan = planRentals(backlog, this.capacity.list(), offerings, maxMachines);
    for (const { pool, count } of countByPool(plan)) {
      this.rentals.request(pool, Math.min(MAX_RENTAL_COUNT, count));
    }
  }

  /** Before all machines are reconciled, running tasks may be counted as waiting. */
  private isBacklogKnown(): boolean {
    const termAge = this.runtime.now - this.term.electedAt;
    return this.term.allMachinesReconciled || termAge > RECONCILIATION_TIMEOUT_MS;
  }
}

/** Counts the elements of each pool. Pools are in the order in which they first appear. */
function countByPool(pools: MachinePool[]): Iterable<{ pool: MachinePool; count: number }> {
  const counts = new Map<string, { pool: MachinePool; count: number }>();
  for (const pool of pools) {
    const entry = counts.get(poolKey(pool)) ?? { pool, count: 0 };
    entry.count++;
    counts.set(poolKey(pool), entry);
  }
  return counts.values();
}
