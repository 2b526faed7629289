/** How soon the image of a job is available on machines. */
import {
  millisecondsOf,
  type Duration,
  type Instant,
  type JobSpec,
  type MachineType,
} from '@tealdock/wire';
import { machineResources, resourcesOf, taskSlots } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import type { MachineCapacity } from './machine-capacity.js';

/** Lower bounds that keep quotients finite where a rate or an image size is 0. */
const MIN_FETCH_GB_PER_S = 0.01;
const MIN_FETCH_TIME_MS = 1;

/** Ranks as in `Volunteer`: the image is present, being fetched, or fetchable now. */
const RANK_PRESENT = 0;
const RANK_FETCHING = 1;
const RANK_IDLE = 2;

/** Time to fetch an image if no other fetch shares the rate. */
export const fetchTime = (imageGb: number, gbPerS: number): Duration =>
  millisecondsOf(imageGb / Math.max(MIN_FETCH_GB_PER_S, gbPerS));

/** Machines that hold the image of a job, whether busy or free; computed when first needed. */
export class ImageHolders {
  private cachedMachines: MachineCapacity[] | null = null;
  private cachedSlotCount: number | null = null;

  constructor(
    private readonly job: LiveJob,
    private readonly cycle: { allAllowed(job: LiveJob): MachineCapacity[] },
  ) {}

  /** Holders of the image on which the job may run. */
  get machines(): MachineCapacity[] {
    const { image } = this.job.spec;
    this.cachedMachines ??= this.cycle
      .allAllowed(this.job)
      .filter(({ machine }) => machine.hasImage(image));
    return this.cachedMachines;
  }

  /** Number of the job's tasks that these machines could hold if they were empty. */
  get slotCount(): number {
    const requested = resourcesOf(this.job.spec);
    this.cachedSlotCount ??= this.machines.reduce(
      (sum, { machine, type }) => sum + taskSlots(requested, machineResources(type, machine.zone)),
      0,
    );
    return this.cachedSlotCount;
  }
}

/**
 * A machine that fetches other images is not a volunteer if the wait for the job's image there
 * exceeds both limits. With the factor alone, jobs with small images would find no machine, since
 * other fetches take many times as long as theirs.
 */
export interface FetchLimits {
  /** Limit of the wait as a multiple of the time that the fetch takes on its own. */
  maxSlowdownFactor: number;
  maxDelay: Duration;
}

/** Ranks machines by how soon the image of one job would be available on them. */
export class ImageRanks {
  constructor(
    private readonly spec: JobSpec,
    private readonly now: Instant,
    /** Whether fetches at the same time share a machine's rate. */
    private readonly isRateShared: boolean,
    private readonly limits: FetchLimits,
  ) {}

  /** Rank as in `Volunteer`; null if the image would be available too late for a volunteer. */
  rankOf({ machine, type }: MachineCapacity): number | null {
    const { image } = this.spec;
    if (machine.hasImage(image)) return RANK_PRESENT;
    const { awaitedImages } = machine.usage;
    if (awaitedImages.size === 0) return RANK_IDLE;
    const delay = this.delayOn(machine);
    const slowdownFactor = delay / this.uncontendedFetchTime(type);
    if (awaitedImages.has(image) && slowdownFactor <= 1) return RANK_FETCHING;
    const { maxDelay, maxSlowdownFactor } = this.limits;
    const isSoonEnough = delay <= maxDelay || slowdownFactor <= maxSlowdownFactor;
    return isSoonEnough ? RANK_IDLE + Math.floor(slowdownFactor) : null;
  }

  /** How long one more task of the job would wait for its image on the machine. */
  delayOn(machine: Machine): Duration {
    const { image, imageGb } = this.spec;
    return machine.imageDelay(image, imageGb, this.isRateShared, this.now);
  }

  /** Time that the fetch takes on a machine that fetches nothing else. */
  private uncontendedFetchTime(type: MachineType): Duration {
    return Math.max(MIN_FETCH_TIME_MS, fetchTime(this.spec.imageGb, type.fetchGbPerS));
  }
}
