/** Interfaces through which placement uses the autoscaler and the catalog of machine types. */
import type { MachineType } from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';

/** The machine types that the cloud offers, as last read from its catalog. */
export interface MachineTypes {
  readonly types: MachineType[];
}

/** Decisions of the autoscaler that affect where and when tasks are placed. */
export interface FleetPolicy {
  /** How much a task on the machine adds to the hourly cost of the fleet; 0 if nothing. */
  marginalPrice(machine: Machine, type: MachineType): number;
  /** Whether any machines can be rented now. */
  canScaleOut(): boolean;
  /** Whether to concentrate work on few machines, so that others become idle. */
  shouldConsolidate(): boolean;
}
