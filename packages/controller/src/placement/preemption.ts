/** Stopping tasks so that others can start. */
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

/** Stopping a task that started less than this ago costs that much beside its lost work. */
const RECENT_START_MS = 30_000;

interface MachinePlan extends PreemptionPlan<Binding> {
  capacity: MachineCapacity;
  /** Work that is lost by it, and the wait for the image after it. */
  cost: Duration;
}

/** What tasks are to be stopped for, and where. */
export interface PreemptionDemand {
  job: LiveJob;
  ranks: ImageRanks;
  machines: MachineCapacity[];
  /** Whether one more task of the job would reclaim its team's guarantee; may change. */
  isReclaiming: () => boolean;
}

/**
 * Frees capacity for the tasks of one job by stopping others, where that loses the least
 * work. Plans are made once for all machines; each use changes one machine.
 */
export class Preemption {
  /** By cost, lowest first. */
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

  /** Stops what has to be stopped for one task; null if nothing may be. */
  freeOneSlot(): MachineCapacity | null {
    for (;;) {
      const plan = this.plans.shift();
      if (!plan) return null;
      // Stops since the plan was made may have changed who borrows.
      if (!plan.victims.every(({ item }) => this.mayStop(item, this.demand.isReclaiming()))) {
        this.planAgain(plan.capacity);
        continue;
      }
      for (const victim of plan.victims) this.stop(plan.capacity, victim);
      return plan.capacity;
    }
  }

  /** To be called once the freed slot has been reserved. */
  planAgain(capacity: MachineCapacity): void {
    const plan = this.planFor(capacity);
    if (!plan) return;
    const index = this.plans.findIndex(({ cost }) => cost > plan.cost);
    this.plans.splice(index < 0 ? this.plans.length : index, 0, plan);
  }

  /** Null where nothing has to be stopped, or where stops would not help. */
  private planFor(capacity: MachineCapacity): MachinePlan | null {
    if (fits(this.requested, capacity.freeAfterStops)) return null;
    const candidates = this.victimsOn(capacity);
    const plan = planPreemption(capacity.freeAfterStops, candidates, this.requested);
    const { ranks } = this.demand;
    // A machine on which the image would come too late is of no use.
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
   * Within a team priority decides. Work inside another team's guarantee gives way only to
   * higher work that is inside its own: were it stopped for borrowed work, its team would
   * reclaim the capacity at once, and so on without end.
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
   * Whether the victim's team uses so much beyond its guarantee that it stays at it without
   * the requested resources. Were less enough, it would reclaim the rest at once.
   */
  private isBorrowing(victim: LiveJob): boolean {
    const team = this.runtime.settings.teams.find(({ name }) => name === victim.spec.team);
    if (!team) return false;
    const left = subtractResources(this.term.ledger.usageAfterStops(team.name), this.requested);
    return left.cpus >= team.cpus && left.gpus >= team.gpus;
  }
}

/** Work lost if the task is stopped now; one that saves loses only what stopping takes. */
function lostWorkOf(binding: Binding, job: LiveJob, now: Instant): Duration {
  const { runningSince, taskState } = binding;
  const elapsed = runningSince === null || taskState === 'fetching' ? 0 : now - runningSince;
  const recentStartCost = elapsed < RECENT_START_MS ? RECENT_START_MS : 0;
  return recentStartCost + (job.spec.checkpoint > 0 ? job.spec.save : elapsed);
}
