/** The backlog of tasks for which machines are rented. */
import type { Instant } from '@tealdock/wire';
import { listOfferings, minSlotPrice, type BacklogEntry, type Offering } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { MachineTypes } from '../placement/fleet-policy.js';
import { fetchTime } from '../placement/image-availability.js';
import { jobsWithinGuarantee, earliestStartDeadline } from '../placement/start-deadlines.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import { CHEAP_PRICE_FACTOR } from './fleet-pricing.js';
import type { MachineInventory } from './machine-inventory.js';

/** Longest boot, as a multiple of the boot time that the machine type names. */
const MAX_BOOT_TIME_FACTOR = 1.5;
/**
 * Jobs without a start deadline wait this long for cheap machines. The wait is limited since a
 * few tasks may never fill such a machine.
 */
const MAX_CHEAP_WAIT_MS = 60_000;

interface PendingJob {
  job: LiveJob;
  startDeadline: Instant;
}

/** Lists unbound tasks, and the headroom: spare capacity for future tasks. */
export class RentalBacklog {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly catalog: MachineTypes,
    private readonly inventory: MachineInventory,
  ) {}

  /** The entries in the order in which they get capacity; the catalog must not be empty. */
  entries(): BacklogEntry[] {
    return [...this.waitingEntries(), ...this.headroomEntries()];
  }

  private waitingEntries(): BacklogEntry[] {
    const offerings = listOfferings(this.catalog.types, () => false);
    const freeCpusByTeam = new Map<string, number>();
    return this.pendingJobs().map(({ job, startDeadline }): BacklogEntry => {
      const { spec, unboundTaskCount } = job;
      const freeCpus = freeCpusByTeam.get(spec.team) ?? this.freeCpusOf(spec.team);
      const limit = spec.cpus > 0 ? Math.floor(freeCpus / spec.cpus) : unboundTaskCount;
      const taskCount = Math.max(0, Math.min(unboundTaskCount, limit));
      freeCpusByTeam.set(spec.team, freeCpus - taskCount * spec.cpus);
      return { spec, taskCount, maxSlotPrice: this.maxSlotPrice(job, startDeadline, offerings) };
    });
  }

  /** Jobs with unbound tasks and without an active backoff, the earliest start deadline first. */
  private pendingJobs(): PendingJob[] {
    const { now, settings } = this.runtime;
    const guaranteed = jobsWithinGuarantee(this.term.jobs.values(), settings);
    return [...this.term.jobs.values()]
      .filter((job) => job.unboundTaskCount > 0 && !job.backoff.isActive(now))
      .map((job) => ({ job, startDeadline: this.startDeadlineOf(job, guaranteed.has(job.id)) }))
      .sort((a, b) => a.startDeadline - b.startDeadline);
  }

  private startDeadlineOf(job: LiveJob, isGuaranteed: boolean): Instant {
    const { settings } = this.runtime;
    const runTimeRatio = this.term.runTimeRatios.ratioOf(job.spec.jobClass);
    const instant = earliestStartDeadline(job, { settings, runTimeRatio, isGuaranteed });
    return instant === Infinity ? job.dependencies.startableAt + MAX_CHEAP_WAIT_MS : instant;
  }

  /** CPUs that the team may use in addition to its bindings. */
  private freeCpusOf(teamName: string): number {
    const team = this.runtime.settings.teams.find(({ name }) => name === teamName);
    return (team?.maxCpus ?? 0) - this.term.ledger.usageOf(teamName).cpus;
  }

  /**
   * Limit of a slot's price per hour. Unless the policy is `fast`, only tasks that would otherwise
   * miss their start deadline may use expensive machines.
   */
  private maxSlotPrice(job: LiveJob, startDeadline: Instant, offerings: Offering[]): number {
    if (this.inventory.policy === 'fast') return Infinity;
    const { types } = this.catalog;
    const slowestFetchGbPerS = Math.min(...types.map(({ fetchGbPerS }) => fetchGbPerS));
    const slowestBoot = Math.max(...types.map(({ boot }) => boot));
    const leadTime =
      slowestBoot * MAX_BOOT_TIME_FACTOR + fetchTime(job.spec.imageGb, slowestFetchGbPerS);
    if (this.runtime.now >= startDeadline - leadTime) return Infinity;
    return minSlotPrice(offerings, job.spec) * CHEAP_PRICE_FACTOR;
  }

  /** With the policy `fast`: capacity for future jobs, in proportion to the tasks of live jobs. */
  private headroomEntries(): BacklogEntry[] {
    if (this.inventory.policy !== 'fast') return [];
    const { headroom } = this.runtime.operator.fleet;
    return [...this.term.jobs.values()].map((job): BacklogEntry => ({
      spec: job.spec,
      taskCount: Math.ceil(headroom * (job.unboundTaskCount + job.bindings.size)),
    }));
  }
}
