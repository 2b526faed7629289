/** Free capacity of the fleet, including machines that are being provisioned or requested. */
import {
  machineResources,
  type FreeCapacity,
  type MachinePool,
  type Resources,
} from '@tealdock/scheduler';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../placement/fleet-policy.js';
import type { Runtime } from '../runtime/runtime.js';
import { socketShares } from '../runtime/sockets.js';
import type { Term } from '../term/term.js';
import type { MachineInventory } from './machine-inventory.js';
import type { RentalRequests } from './rental-requests.js';
import type { ReturnRules } from './return-rules.js';

/** Dependencies of `FleetCapacity`. */
export interface FleetCapacityDependencies {
  readonly runtime: Runtime;
  readonly term: Term;
  readonly catalog: MachineTypes;
  readonly inventory: MachineInventory;
  readonly rentals: RentalRequests;
  readonly returnRules: ReturnRules;
}

/** Takes into account usable machines, those being provisioned, and pending requests. */
export class FleetCapacity {
  constructor(private readonly dependencies: FleetCapacityDependencies) {}

  /** One entry for each machine with free capacity. */
  list(): FreeCapacity[] {
    const { term, catalog, inventory, rentals } = this.dependencies;
    const types = new Map(catalog.types.map((type) => [type.name, type]));
    const capacities: FreeCapacity[] = [];
    const add = ({ type, zone, spot }: MachinePool, free: Resources) => {
      if (free.cpus > 0 && free.memoryGb > 0) capacities.push({ type, zone, spot, free });
    };
    const addNew = (pool: MachinePool) => {
      const type = types.get(pool.type);
      if (type) add(pool, machineResources(type, pool.zone));
    };
    for (const machine of term.machines.values()) {
      const type = types.get(machine.type);
      if (type && this.isUsable(machine)) add(machine, machine.free(type));
    }
    for (const machine of inventory.provisioning.values()) addNew(machine);
    for (const rental of rentals.pending) {
      for (let i = 0; i < rental.count; i++) addNew(rental);
    }
    return capacities;
  }

  /**
   * How many more machines may be rented. One node holds a connection for each worker. A machine
   * for which no socket is left would cost money but could connect only in place of another.
   */
  unusedWorkerSocketCount(): number {
    const { runtime, term, inventory, rentals } = this.dependencies;
    let used = term.machines.size + inventory.provisioning.size;
    for (const { count } of rentals.pending) used += count;
    const left = socketShares(runtime.settings).workers - used;
    runtime.stats.setGauge('fleet.places_left', left);
    return Math.max(0, left);
  }

  /** Machines not reconciled yet count as usable, so that they are not replaced too early. */
  private isUsable(machine: Machine): boolean {
    const { registration, heartbeats, health } = machine;
    if (registration.isReturning || heartbeats.preemptionDeadline !== null) return false;
    if (health.isQuarantined(this.dependencies.runtime.now)) return false;
    if (!registration.isReconciled) return true;
    return heartbeats.lastCountedAt !== null && !this.dependencies.returnRules.isInactive(machine);
  }
}
