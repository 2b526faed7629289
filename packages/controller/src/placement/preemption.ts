/** Preemption: stops tasks so that those of another job can start. */
import type { Duration, Instant } from '@tealdock/wire';
import {
  addResources,
  fits,
  planPreemption,
  priorityRank,
  resourcesOf,
  subtractResources,
  type PreemptionPlan,
  type Resources,
  type Victim,
} from '@tealdock/scheduler';
import type { Binding } from '../jobs/binding.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';
import type { ImageRanks } from './image-availability.js';
import type { MachineCapacity } from './machine-capacity.js';

/**
 * A task that has run for less than this is costlier to stop: this much is added to its lost work.
 */
const RECENT_START_MS = 30_000;

interface MachinePlan extends PreemptionPlan<Binding> {
  capacity: MachineCapacity;
  /** Work lost by the stops, plus the wait for the image on the machine. */
  cost: Duration;
}

/** The job that needs capacity, and the machines on which tasks may be stopped for it. */
export interface PreemptionDemand {
  job: LiveJob;
  ranks: ImageRanks;
  machines: MachineCapacity[];
  /**
   * Whether the job may reclaim its team's guarantee, and the team would stay within it with one
   * more task of the job. The result changes as capacity is reserved.
   */
  isReclaiming: () => boolean;
}

/**
 * Frees capacity for the tasks of one job by stopping others, on the machines where that costs
 * the least. Plans for all machines are made once. Using one changes only its own machine, for
 * which a new plan is then made.
 */
export class Preemption {
  /** Sorted by cost, lowest first; at most one for each machine. */
  private readonly plans: MachinePlan[];
  private readonly requested: Resources;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly demand: PreemptionDemand,
  ) {
    this.requested = resourcesOf(demand.job.spec);
    this.plans = demand.machines
      .map((capacity) => this.planFor(capacity))
      .filter((plan) => plan !== null)
      .sort((a, b) => a.cost - b.cost);
  }

  /**
   * Requests the cheapest stops that make one task fit. Returns their machine, or null if no
   * machine can be freed.
   */
  freeOneSlot(): MachineCapacity | null {
    for (;;) {
      const plan = this.plans.shift();
      if (!plan) return null;
      // Later stops may have changed which teams use more than their guarantee.
      if (!plan.victims.every(({ item }) => this.mayStop(item, this.demand.isReclaiming()))) {
        this.planAgain(plan.capacity);
        continue;
      }
      for (const victim of plan.victims) this.stop(plan.capacity, victim);
      return plan.capacity;
    }
  }

  /** Makes a new plan for a machine; to be called once its freed capacity is reserved. */
  planAgain(capacity: MachineCapacity): void {
    const plan = this.planFor(capacity);
    if (!plan) return;
    const index = this.plans.findIndex(({ cost }) => cost > plan.cost);
    this.plans.splice(index < 0 ? this.plans.length : index, 0, plan);
  }

  /** Null if a task fits without a stop, or if stops on the machine would not help. */
  private planFor(capacity: MachineCapacity): MachinePlan | null {
    if (fits(this.requested, capacity.freeAfterStops)) return null;
    const candidates = this.victimsOn(capacity);
    const plan = planPreemption(capacity.freeAfterStops, candidates, this.requested);
    const { ranks } = this.demand;
    // On this machine, the image would be available too late.
    if (!plan || ranks.rankOf(capacity) === null) return null;
    return { ...plan, capacity, cost: plan.lostWork + ranks.delayOn(capacity.machine) };
  }

  private victimsOn(capacity: MachineCapacity): Victim<Binding>[] {
    const victims: Victim<Binding>[] = [];
    const isReclaiming = this.demand.isReclaiming();
    for (const binding of capacity.machine.bindings.values()) {
      if (!this.mayStop(binding, isReclaiming)) continue;
      const job = this.term.jobs.get(binding.job);
      if (!job) continue;
      const lostWork = lostWorkOf(binding, job, this.runtime.now);
      victims.push({ item: binding, resources: binding.resources, lostWork });
    }
    return victims;
  }

  private stop(capacity: MachineCapacity, { item: binding, resources }: Victim<Binding>): void {
    const reason = `room for ${this.demand.job.id}`;
    const gracePeriod = this.term.jobs.get(binding.job)?.spec.save ?? 0;
    this.term.bindings.requestStop(binding, { gracePeriod, reason });
    capacity.freeAfterStops = addResources(capacity.freeAfterStops, resources);
    this.runtime.log(
      'debug',
      { task: binding.task, machine: binding.machine, reason },
      'task preempted',
    );
  }

  /**
   * Within a team, only tasks of lower priority may be stopped. A task of another team that uses
   * more than its guarantee may be stopped for a higher priority or to reclaim a guarantee. If its
   * team is within its guarantee, both are needed: otherwise that team would reclaim the capacity
   * immediately, and the teams would preempt each other without end.
   */
  private mayStop(binding: Binding, isReclaiming: boolean): boolean {
    const victim = this.term.jobs.get(binding.job);
    if (!victim || binding.stopRequest) return false;
    if (binding.isProtectedFromPreemption || !binding.isObserved) return false;
    const { spec } = this.demand.job;
    const isLower = priorityRank(victim.spec) < priorityRank(spec);
    if (victim.spec.team === spec.team) return isLower;
    return this.isBorrowing(victim) ? isLower || isReclaiming : isLower && isReclaiming;
  }

  /**
   * Whether the victim's team would still use its whole guarantee without the requested
   * resources. If it fell below, it would reclaim the difference immediately.
   */
  private isBorrowing(victim: LiveJob): boolean {
    const team = this.runtime.settings.teams.find(({ name }) => name === victim.spec.team);
    if (!team) return false;
    const remaining = subtractResources(
      this.term.ledger.usageAfterStops(team.name),
      this.requested,
    );
    return remaining.cpus >= team.cpus && remaining.gpus >= team.gpus;
  }
}

/**
 * Cost of stopping the task now: the time that it has run, or only the time for saving if it
 * saves checkpoints; more if it started recently.
 */
function lostWorkOf(binding: Binding, job: LiveJob, now: Instant): Duration {
  const { runningSince, taskState } = binding;
  const elapsed = runningSince === null || taskState === 'fetching' ? 0 : now - runningSince;
  const recentStartCost = elapsed < RECENT_START_MS ? RECENT_START_MS : 0;
  return recentStartCost + (job.spec.checkpoint > 0 ? job.spec.save : elapsed);
}
