/** Marginal prices of tasks on the machines of the fleet. */
import type { MachineType } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../placement/fleet-policy.js';
import type { MachineInventory } from './machine-inventory.js';

/** A price counts as cheap up to this multiple of the lowest price. */
export const CHEAP_PRICE_FACTOR = 1.6;

/** Prices by which placement compares machines. */
export class FleetPricing {
  constructor(
    private readonly catalog: MachineTypes,
    private readonly inventory: MachineInventory,
  ) {}

  /**
   * See `FleetPolicy`. 0 for an owned machine. Unless the policy is `fast`, also 0 for a cheap one
   * that is in use anyway. An expensive machine keeps its price while it is in use, so that it
   * gets no more tasks than necessary, becomes idle and is returned.
   */
  marginalPrice(machine: Machine, type: MachineType): number {
    if (this.inventory.isOwned(machine.id)) return 0;
    const price = machine.spot ? type.spotPrice : type.price;
    if (this.inventory.policy === 'fast' || machine.bindings.size === 0) return price;
    return price <= this.lowestCpuPrice() * type.cpus * CHEAP_PRICE_FACTOR ? 0 : price;
  }

  /** Lowest price per CPU and hour of all machine types; Infinity if there are none. */
  private lowestCpuPrice(): number {
    let lowest = Infinity;
    for (const { cpus, price, spotPrice } of this.catalog.types) {
      if (cpus > 0) lowest = Math.min(lowest, price / cpus, spotPrice / cpus);
    }
    return lowest;
  }
}
