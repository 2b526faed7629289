/** How many machines of which kind there should be. */
import { MAX_RENT, type Instant, type MachineType } from '@tealdock/wire';
import {
  minSlotPrice,
  offerings,
  planRentals,
  type Backlog,
  type FreeCapacity,
  type Offering,
  type Place,
  type Resources,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Machine } from '../machines/machine.js';
import { guaranteedJobs, latestStart } from '../placement/start-deadlines.js';
import type { Runtime } from '../runtime/runtime.js';
import { socketShares } from '../runtime/sockets.js';
import type { StateStore } from '../state/state-store.js';
import type { Term } from '../term/term.js';
import { CloudCalls } from './cloud-calls.js';
import { MachineInventory } from './machine-inventory.js';
import { MachineReturns } from './machine-returns.js';
import { RentalRequests, placeKey } from './rental-requests.js';

/** The list is looked for this often, and read again less often once all machines reported. */
const REFRESH_LIST_EVERY = 3000;
const RENT_EVERY = 1000;
const GIVE_BACK_EVERY = 300;
/** Machines that one plan may rent. */
const MAX_PLANNED = 400;
/** Renting goes on after this even if some machines are not accounted for. */
const REBUILD_PATIENCE = 15_000;
/** Boots take up to half as long again as their type says. */
const BOOT_LEAD = 1.5;
/** Work without any aim waits this long for cheap machines; few tasks may never fill one. */
const AIMLESS_WAIT = 60_000;
/** A slot is cheap up to this multiple of the cheapest. */
const CHEAP_ENOUGH = 1.6;

/** Rents for the backlog, and has machines returned that are of no use. */
export class Autoscaler {
  private readonly inventory: MachineInventory;
  private readonly rentals: RentalRequests;
  private readonly returns: MachineReturns;

  constructor(
    private readonly runtime: Runtime,
    state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
    private readonly types: () => MachineType[],
  ) {
    const cloud = new CloudCalls(runtime, term);
    this.inventory = new MachineInventory(runtime, state, leadership, term, cloud);
    this.returns = new MachineReturns(runtime, term, types, cloud, this.inventory);
    this.rentals = new RentalRequests(runtime, term, types, cloud, this.inventory, () =>
      this.rentAgain(),
    );
  }

  /** Frugal where renting costs money that counts, fast where machines were owned. */
  policy(): 'frugal' | 'fast' {
    return this.inventory.policy();
  }

  /** Whether anything can be rented at all just now. */
  rentable(): boolean {
    return this.rentals.rentable();
  }

  start(): void {
    this.inventory.start();
    this.repeat(REFRESH_LIST_EVERY, () => this.inventory.refreshList());
    this.repeat(GIVE_BACK_EVERY, () => this.returns.giveBack());
    this.repeat(RENT_EVERY, () => this.scale());
  }

  private repeat(period: number, run: () => void): void {
    this.runtime.every(period, () => {
      if (!this.term.closed && this.leadership.validLease()) run();
      return !this.term.closed;
    });
  }

  /**
   * What work on this machine adds to the bill: nothing where it is owned, or busy
   * anyway and cheap. A dear one shows its price also while it is busy, so that it
   * gets no more work than there is, falls idle and goes back.
   */
  price(machine: Machine, type: MachineType): number {
    if (this.inventory.isOwned(machine.id)) return 0;
    const price = machine.spot ? type.spotPrice : type.price;
    if (this.policy() === 'fast' || machine.bindings.size === 0) return price;
    return price <= this.leastRate() * type.cpus * CHEAP_ENOUGH ? 0 : price;
  }

  /** What a CPU costs an hour on the cheapest kind of machine. */
  private leastRate(): number {
    let least = Infinity;
    for (const t of this.types()) {
      if (t.cpus > 0) least = Math.min(least, t.price / t.cpus, t.spotPrice / t.cpus);
    }
    return least;
  }

  private scale(): void {
    if (!this.term.stateLoaded || this.inventory.owned === null || this.types().length === 0)
      return;
    this.rentals.repeatRentals();
    this.rent();
  }

  private backlog(): Backlog[] {
    const inside = guaranteedJobs(this.term.jobs.values(), this.runtime.settings);
    const jobs = [...this.term.jobs.values()]
      .filter((j) => j.unboundTaskCount > 0 && !j.backoff.isActive(this.runtime.now))
      .map((job) => ({ job, latest: this.latest(job, inside.has(job.id)) }))
      .sort((a, b) => a.latest - b.latest);
    const all = offerings(this.types(), () => false);
    const rest = new Map<string, number>();
    return jobs.map(({ job, latest }): Backlog => {
      const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
      const room =
        rest.get(job.spec.team) ??
        (team?.maxCpus ?? 0) - this.term.ledger.usageOf(job.spec.team).cpus;
      const most = job.spec.cpus > 0 ? Math.floor(room / job.spec.cpus) : job.unboundTaskCount;
      const tasks = Math.max(0, Math.min(job.unboundTaskCount, most));
      rest.set(job.spec.team, room - tasks * job.spec.cpus);
      return { spec: job.spec, tasks, maxPrice: this.maxPrice(job, latest, all) };
    });
  }

  private latest(job: LiveJob, guaranteed: boolean): Instant {
    const ratio = this.term.runTimeRatios.ratioOf(job.spec.jobClass);
    const latest = latestStart(job, ratio, guaranteed, this.runtime.settings);
    return latest === Infinity ? job.dependencies.startableAt + AIMLESS_WAIT : latest;
  }

  /** Dear machines are only for work that would otherwise start too late. */
  private maxPrice(job: LiveJob, latest: Instant, all: Offering[]): number {
    if (this.policy() === 'fast') return Infinity;
    const slowest = Math.min(...this.types().map((t) => t.fetchGbPerS));
    const boot = Math.max(...this.types().map((t) => t.boot));
    const lead = boot * BOOT_LEAD + (job.spec.imageGb / Math.max(0.01, slowest)) * 1000;
    if (this.runtime.now >= latest - lead) return Infinity;
    return minSlotPrice(all, job.spec) * CHEAP_ENOUGH;
  }

  /** Where starts count more than money, room for a burst is kept beside the work at hand. */
  private headroom(): Backlog[] {
    if (this.policy() !== 'fast') return [];
    const share = this.runtime.operator.fleet.headroom;
    return [...this.term.jobs.values()].map((job) => ({
      spec: job.spec,
      tasks: Math.ceil(share * (job.unboundTaskCount + job.bindings.size)),
    }));
  }

  /** Room on machines that answer, and on those that are on their way. */
  private capacities(): FreeCapacity[] {
    const capacities: FreeCapacity[] = [];
    const types = new Map(this.types().map((t) => [t.name, t]));
    const add = (place: Place, free: Resources | undefined) => {
      if (free && free.cpus > 0 && free.memoryGb > 0) {
        capacities.push({ type: place.type, zone: place.zone, spot: place.spot, free });
      }
    };
    for (const machine of this.term.machines.values()) {
      const type = types.get(machine.type);
      const usable = type && this.usable(machine);
      if (usable) add(machine, machine.free(type));
    }
    for (const c of this.inventory.provisioning.values()) add(c, types.get(c.type));
    for (const rental of this.rentals.requests.values()) {
      for (let i = 0; i < rental.count; i++) add(rental, types.get(rental.type));
    }
    return capacities;
  }

  private usable(machine: Machine): boolean {
    if (
      machine.registration.isReturning ||
      machine.heartbeats.preemptionDeadline !== null ||
      machine.health.isQuarantined(this.runtime.now)
    )
      return false;
    return (
      !machine.registration.isReconciled ||
      (machine.heartbeats.lastCountedAt !== null && !this.returns.countsNoMore(machine))
    );
  }

  private rent(): void {
    if (!this.knowsWhatRuns()) return;
    const backlog = [...this.backlog(), ...this.headroom()];
    const most = Math.min(MAX_PLANNED, this.placesLeft());
    const plan = planRentals(backlog, this.capacities(), this.rentals.offers(), most);
    const groups = new Map<string, { place: Place; count: number }>();
    for (const p of plan) {
      const group = groups.get(placeKey(p)) ?? { place: p, count: 0 };
      group.count++;
      groups.set(placeKey(p), group);
    }
    for (const { place, count } of groups.values()) {
      if (!this.rentals.asked(place)) this.rentals.ask(place, Math.min(MAX_RENT, count));
    }
  }

  /**
   * One node holds a connection for each worker. A machine beyond that would be paid for
   * and never heard, and its tries to get in would cost those that are.
   */
  private placesLeft(): number {
    let taken = this.term.machines.size + this.inventory.provisioning.size;
    for (const r of this.rentals.requests.values()) taken += r.count;
    const left = socketShares(this.runtime.settings).workers - taken;
    this.runtime.stats.setGauge('fleet.places_left', left);
    return Math.max(0, left);
  }

  /** Before all machines are accounted for, tasks that run look like tasks that wait. */
  private knowsWhatRuns(): boolean {
    return (
      this.term.allMachinesReconciled || this.runtime.now - this.term.electedAt > REBUILD_PATIENCE
    );
  }

  /** What was not rented yet is asked for at once, elsewhere if it was refused. */
  private rentAgain(): void {
    if (!this.term.closed && this.leadership.validLease() && this.rentals.requests.size === 0)
      this.rent();
  }
}
