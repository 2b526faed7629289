/** Stopping tasks so that others can start. */
import type { Duration, Instant } from '@tealdock/wire';
import {
  fits,
  subtractResources,
  resourcesOf,
  planPreemption,
  addResources,
  priorityRank,
  type PreemptionPlan,
  type Resources,
  type Victim,
} from '@tealdock/scheduler';
import type { MachineCapacity, ImageRanks } from './machine-capacity.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Binding } from '../jobs/binding.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';

/** A start that is stopped sooner than this was in vain for whoever waited for it. */
const RECENT_START = 30_000;

interface MachinePlan extends PreemptionPlan<Binding> {
  capacity: MachineCapacity;
  /** Work that is lost by it, and the wait for the image after it. */
  cost: Duration;
}

/**
 * Makes room for the tasks of one job by stopping others, where that loses the
 * least work. Plans are made once for all machines; each use changes one machine.
 */
export class Preemption {
  private readonly plans: MachinePlan[];
  private readonly wanted: Resources;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly job: LiveJob,
    private readonly guaranteed: () => boolean,
    machines: MachineCapacity[],
    private readonly ranks: ImageRanks,
  ) {
    this.wanted = resourcesOf(job.spec);
    const plans = machines.map((d) => this.planFor(d)).filter((p) => p !== null);
    this.plans = plans.sort((a, b) => a.cost - b.cost);
  }

  /** Has what is needed for one task stopped; null if nothing may be. */
  freeOneSlot(): MachineCapacity | null {
    for (;;) {
      const plan = this.plans.shift();
      if (!plan) return null;
      // What was stopped since may have changed who borrows.
      if (!plan.victims.every((v) => this.mayStop(v.item, this.guaranteed()))) {
        this.planAgain(plan.capacity);
        continue;
      }
      for (const victim of plan.victims) this.stop(plan.capacity, victim);
      return plan.capacity;
    }
  }

  /** To be called once the room has been promised to a task. */
  planAgain(capacity: MachineCapacity): void {
    const plan = this.planFor(capacity);
    if (!plan) return;
    const at = this.plans.findIndex((p) => p.cost > plan.cost);
    this.plans.splice(at < 0 ? this.plans.length : at, 0, plan);
  }

  private planFor(capacity: MachineCapacity): MachinePlan | null {
    // Where room is coming already, nothing needs to be stopped.
    if (fits(this.wanted, capacity.freeAfterStops)) return null;
    const plan = planPreemption(capacity.freeAfterStops, this.victims(capacity), this.wanted);
    // Room where the image would come too late is no room.
    if (!plan || this.ranks.of(capacity) === null) return null;
    return { ...plan, capacity, cost: plan.lostWork + this.ranks.delay(capacity.machine) };
  }

  private victims(capacity: MachineCapacity): Victim<Binding>[] {
    const victims: Victim<Binding>[] = [];
    const guaranteed = this.guaranteed();
    for (const binding of capacity.machine.bindings.values()) {
      if (!this.mayStop(binding, guaranteed)) continue;
      const other = this.term.jobs.get(binding.job);
      if (!other) continue;
      victims.push({
        item: binding,
        resources: binding.resources,
        lostWork: lost(binding, other, this.runtime.now),
      });
    }
    return victims;
  }

  private stop(capacity: MachineCapacity, victim: Victim<Binding>): void {
    const binding = victim.item;
    const reason = `room for ${this.job.id}`;
    this.term.bindings.requestStop(binding, {
      gracePeriod: this.term.jobs.get(binding.job)?.spec.save ?? 0,
      reason,
    });
    capacity.freeAfterStops = addResources(capacity.freeAfterStops, victim.resources);
    this.runtime.log(
      'debug',
      { task: binding.task, machine: binding.machine, reason },
      'task preempted',
    );
  }

  /**
   * Within a team priority decides. Work inside another team's guarantee gives
   * way only to higher work that is inside its own: were it stopped for borrowed
   * work, its team would reclaim the room at once, and so on without end.
   */
  private mayStop(binding: Binding, guaranteed: boolean): boolean {
    const other = this.term.jobs.get(binding.job);
    if (!other || binding.stopRequest || binding.isProtectedFromPreemption || !binding.isObserved)
      return false;
    const lower = priorityRank(other.spec) < priorityRank(this.job.spec);
    if (other.spec.team === this.job.spec.team) return lower;
    return this.borrows(other) ? lower || guaranteed : lower && guaranteed;
  }

  /**
   * The other team uses so much beyond its guarantee that it stays at it without
   * what the task needs. Were less enough, it would reclaim the rest at once.
   */
  private borrows(other: LiveJob): boolean {
    const team = this.runtime.settings.teams.find((t) => t.name === other.spec.team);
    if (!team) return false;
    const left = subtractResources(this.term.ledger.usageAfterStops(team.name), this.wanted);
    return left.cpus >= team.cpus && left.gpus >= team.gpus;
  }
}

/** Work lost if the task is stopped now; one that saves loses only what stopping takes. */
function lost(binding: Binding, job: LiveJob, now: Instant): number {
  const ran =
    binding.runningSince === null || binding.taskState === 'fetching'
      ? 0
      : now - binding.runningSince;
  const fresh = ran < RECENT_START ? RECENT_START : 0;
  return fresh + (job.spec.checkpoint > 0 ? job.spec.save : ran);
}
