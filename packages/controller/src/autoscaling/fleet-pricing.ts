/** What work on the machines of the fleet costs. */
import type { MachineType } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import type { MachineTypes } from '../placement/fleet-policy.js';
import type { MachineInventory } from './machine-inventory.js';

/** Capacity is cheap up to this multiple of the lowest price. */
export const CHEAP_PRICE_FACTOR = 1.6;

/** Prices by which placement compares machines. */
export class FleetPricing {
  constructor(
    private readonly catalog: MachineTypes,
    private readonly inventory: MachineInventory,
  ) {}

  /**
   * What work on the machine adds to the bill per hour: nothing where it is owned, or cheap and
   * in use anyway. An expensive one keeps its price also while it is in use, so that it gets no
   * more work than necessary, falls idle and is returned.
   */
  marginalPrice(machine: Machine, type: MachineType): number {
    if (this.inventory.isOwned(machine.id)) return 0;
    const price = machine.spot ? type.spotPrice : type.price;
    if (this.inventory.policy === 'fast' || machine.bindings.size === 0) return price;
    return price <= this.lowestCpuPrice() * type.cpus * CHEAP_PRICE_FACTOR ? 0 : price;
  }

  /** Price per hour of a CPU on the cheapest type of machine. */
  private lowestCpuPrice(): number {
    let lowest = Infinity;
    for (const { cpus, price, spotPrice } of this.catalog.types) {
      if (cpus > 0) lowest = Math.min(lowest, price / cpus, spotPrice / cpus);
    }
    return lowest;
  }
}
