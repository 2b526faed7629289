/** What placement asks of the autoscaler and of the catalog. */
import type { MachineType } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';

/** The machine types that the cloud offers, as last read. */
export interface MachineTypes {
  readonly types: MachineType[];
}

/** Price and growth of the fleet. */
export interface FleetPolicy {
  /** What work on the machine adds to the bill per hour; 0 where it costs nothing more. */
  marginalPrice(machine: Machine, type: MachineType): number;
  /** Whether any machines can be rented just now. */
  canScaleOut(): boolean;
  /** Whether work is to be consolidated on few machines, so that others fall idle. */
  shouldConsolidate(): boolean;
}
