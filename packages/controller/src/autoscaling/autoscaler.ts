import {
  MACHINES_PATH,
  MAX_RENT,
  MAX_RETURN,
  RETURN_PATH,
  listPath,
  parseList,
  parseRented,
  renderRent,
  renderReturn,
  type Instant,
  type ListedMachine,
  type MachineType,
} from '@tealdock/wire';
import {
  leastSlotPrice,
  offerings,
  planRentals,
  type Backlog,
  type Offering,
  type Place,
  type Resources,
  type FreeCapacity,
} from '@tealdock/scheduler';
import { OWNED_KEY } from '../state/keys.js';
import type { Leadership } from '../leadership/leadership.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import { PRIORITY, type CallPriority, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { attempt, type StateStore } from '../state/state-store.js';
import { guaranteedJobs, latestStart } from '../placement/start-deadlines.js';
import { socketShares } from '../runtime/sockets.js';
import type { Term } from '../term/term.js';

const LIST_EVERY = 5000;
/** While a new term waits for its roster: lists tell what has vanished. */
const LIST_SOON = 3000;
const RENT_EVERY = 1000;
const CALL_TIMEOUT = 4000;
const REFUSED_FOR = 15_000;
/** The cloud charges a machine that is returned for at least this long. */
const LEAST_CHARGE = 60_000;
const MOST_PLANNED = 400;
/** After a take-over, this few silent machines, as a part of all, are given up this soon. */
const SILENT_PATIENCE = 8000;
const SILENT_PART = 0.05;
/** And this few even sooner: whoever waits for them waits for the whole roster. */
const FEW_PATIENCE = 2000;
const FEW_PART = 0.01;
/** Renting goes on after this even if some of the roster is not accounted for. */
const REBUILD_PATIENCE = 15_000;
const GIVE_BACK_EVERY = 300;
/** A machine that a list lacks and this term has not heard is given up after this long. */
const NEW_TERM_PATIENCE = 1500;
/** And one that it has heard, after so many reports. */
const MISSED_REPORTS = 1.5;
/** Boots take up to half as long again as their type says. */
const BOOT_LEAD = 1.5;
/** Work without any aim waits this long for cheap machines; few tasks may never fill one. */
const AIMLESS_WAIT = 60_000;
/** A slot is cheap up to this multiple of the cheapest. */
const CHEAP_ENOUGH = 1.6;
/** An owned fleet is not paid for by the second: what it rents is kept for longer. */
const FAST_IDLE = 300_000;
/** A rented machine that loses this many starts in a row is of no use. */
const MOST_LOST_STARTS = 3;

interface Provisioning extends Place {
  asked: Instant;
}

interface ProvisioningRequest extends Place {
  request: string;
  count: number;
  asked: Instant;
}

const placeKey = (p: Place): string => `${p.type} ${p.zone} ${p.spot}`;

/** Rents for the backlog, returns what is idle, failed or never came up. */
export class Autoscaler {
  private readonly requests = new Map<string, ProvisioningRequest>();
  private readonly provisioning = new Map<string, Provisioning>();
  private readonly refused = new Map<string, Instant>();
  private listed = new Map<string, ListedMachine>();
  private listAsked: Instant | null = null;
  private listBegun: Instant | null = null;
  private owned: string | null = null;
  private lastRequest = 0;
  private returning = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
    private readonly types: () => MachineType[],
  ) {}

  start(): void {
    this.readOwned();
    this.repeat(LIST_SOON, () => this.refreshList());
    this.repeat(GIVE_BACK_EVERY, () => this.giveBack());
    this.repeat(RENT_EVERY, () => this.scale());
  }

  private repeat(period: number, run: () => void): void {
    this.runtime.every(period, () => {
      if (!this.term.closed && this.leadership.held()) run();
      return !this.term.closed;
    });
  }

  /** Machines that were there before the first rental are the operator's own. */
  isOwned(id: string): boolean {
    return this.owned !== null && this.owned !== '' && id <= this.owned;
  }

  /**
   * What work on this machine adds to the bill: nothing where it is owned, or busy
   * anyway and cheap. A dear one shows its price also while it is busy, so that it
   * gets no more work than there is, falls idle and goes back.
   */
  price(machine: Machine, type: MachineType): number {
    if (this.isOwned(machine.id)) return 0;
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

  /** Whether anything can be rented at all just now. */
  rentable(): boolean {
    return this.offers().length > 0;
  }

  private call(
    method: string,
    path: string,
    body: unknown,
    priority: CallPriority,
    done: (r: CallResult) => void,
  ): void {
    const call = {
      target: 'cloud' as const,
      to: '',
      method,
      path,
      body,
      priority,
      writes: 0,
      timeout: CALL_TIMEOUT,
    };
    this.runtime.call(call, (result) => {
      if (!this.term.closed) done(result);
    });
  }

  // --- what there is ---------------------------------------------------------

  private readOwned(): void {
    if (this.term.closed) return;
    this.state.get(OWNED_KEY, PRIORITY.leader, (got) => {
      if (got.kind === 'failed') return this.runtime.after(1000, () => this.readOwned());
      if (got.kind === 'found') this.owned = (got.item.value as { last: string }).last;
    });
  }

  private noteOwned(machines: ListedMachine[]): void {
    if (this.owned !== null) return;
    const heard = [...this.term.machines.keys()];
    const last = [...machines.map((m) => m.id), ...heard].sort().at(-1) ?? '';
    const guards = [this.leadership.guard(), { key: OWNED_KEY, version: 0 }];
    const write = { put: OWNED_KEY, value: { last } };
    this.state.commit(guards, [write], PRIORITY.leader, (committed) => {
      if (committed.kind === 'ok') this.owned = last;
      else this.readOwned();
    });
  }

  private refreshList(): void {
    const fresh = this.runtime.now - (this.listBegun ?? -Infinity) < LIST_EVERY;
    if (fresh && this.term.loaded && this.term.ready) return;
    this.listBegun = this.runtime.now;
    this.list('', new Map(), this.runtime.now);
  }

  private list(after: string, found: Map<string, ListedMachine>, asked: Instant): void {
    this.call('GET', listPath(after), null, PRIORITY.leader, (result) => {
      const page =
        result.kind === 'answer' && result.status === 200
          ? attempt(() => parseList(result.body))
          : null;
      if (!page) return;
      for (const m of page.machines) found.set(m.id, m);
      const last = page.machines.at(-1);
      if (page.more && last) return this.list(last.id, found, asked);
      this.listed = found;
      this.listAsked = asked;
      this.noteOwned([...found.values()]);
      this.seeList(asked);
    });
  }

  private seeList(asked: Instant): void {
    for (const [id, machine] of this.listed) {
      const known = this.term.machines.has(id);
      if (machine.state === 'booting' && !known && !this.provisioning.has(id)) {
        this.provisioning.set(id, {
          type: machine.type,
          zone: machine.zone,
          spot: machine.spot,
          asked: this.runtime.now - machine.age,
        });
      }
    }
    // Taken before it ever reported: no longer listed, nor coming.
    const lag = this.runtime.settings.cloud.listLag * 2;
    for (const [id, machine] of this.provisioning) {
      const old = asked - lag > machine.asked + lag;
      if (this.term.machines.has(id) || (old && !this.listed.has(id))) this.provisioning.delete(id);
    }
  }

  // --- renting ---------------------------------------------------------------

  private scale(): void {
    if (!this.term.loaded || this.owned === null || this.types().length === 0) return;
    this.repeatRentals();
    this.rent();
  }

  private offers() {
    return offerings(this.types(), (p) => (this.refused.get(placeKey(p)) ?? 0) > this.runtime.now);
  }

  private backlog(): Backlog[] {
    const inside = guaranteedJobs(this.term.jobs.values(), this.runtime.settings);
    const jobs = [...this.term.jobs.values()]
      .filter((j) => j.waiting > 0 && j.backoffUntil <= this.runtime.now)
      .map((job) => ({ job, latest: this.latest(job, inside.has(job.id)) }))
      .sort((a, b) => a.latest - b.latest);
    const all = offerings(this.types(), () => false);
    const rest = new Map<string, number>();
    return jobs.map(({ job, latest }) => {
      const team = this.runtime.settings.teams.find((t) => t.name === job.spec.team);
      const room =
        rest.get(job.spec.team) ??
        (team?.cpusMax ?? 0) - this.term.ledger.teamUse(job.spec.team).cpus;
      const most = job.spec.cpus > 0 ? Math.floor(room / job.spec.cpus) : job.waiting;
      const tasks = Math.max(0, Math.min(job.waiting, most));
      rest.set(job.spec.team, room - tasks * job.spec.cpus);
      return { spec: job.spec, tasks, mostPrice: this.mostPrice(job, latest, all) };
    });
  }

  private latest(job: LiveJob, guaranteed: boolean): Instant {
    const ratio = this.term.ratios.get(job.spec.jobClass) ?? 1;
    const latest = latestStart(job, ratio, guaranteed, this.runtime.settings);
    return latest === Infinity ? job.since + AIMLESS_WAIT : latest;
  }

  /** Dear machines are only for work that would otherwise start too late. */
  private mostPrice(job: LiveJob, latest: Instant, all: Offering[]): number {
    if (this.policy() === 'fast') return Infinity;
    const slowest = Math.min(...this.types().map((t) => t.fetchGbPerS));
    const boot = Math.max(...this.types().map((t) => t.boot));
    const lead = boot * BOOT_LEAD + (job.spec.imageGb / Math.max(0.01, slowest)) * 1000;
    if (this.runtime.now >= latest - lead) return Infinity;
    return leastSlotPrice(all, job.spec) * CHEAP_ENOUGH;
  }

  /** Where starts count more than money, room for a burst is kept beside the work at hand. */
  private headroom(): Backlog[] {
    if (this.policy() !== 'fast') return [];
    const share = this.runtime.operator.fleet.headroom;
    return [...this.term.jobs.values()].map((job) => ({
      spec: job.spec,
      tasks: Math.ceil(share * (job.waiting + job.bound.size)),
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
    for (const c of this.provisioning.values()) add(c, types.get(c.type));
    for (const result of this.requests.values()) {
      for (let i = 0; i < result.count; i++) add(result, types.get(result.type));
    }
    return capacities;
  }

  private usable(machine: Machine): boolean {
    if (
      machine.returning ||
      machine.noticeUntil !== null ||
      machine.quarantinedUntil > this.runtime.now
    )
      return false;
    return !machine.resolved || (machine.lastCounted !== null && !this.deaf(machine));
  }

  /** Its reports arrive, or did, but none has counted for a whole lease. */
  private deaf(machine: Machine): boolean {
    const since =
      machine.lastCounted ??
      Math.max(this.term.acquired, Math.min(machine.since, this.runtime.now));
    return machine.bindings.size === 0 && this.runtime.now > this.term.leaseExpiry.leaseEnd(since);
  }

  private rent(): void {
    if (!this.knowsWhatRuns()) return;
    const backlog = [...this.backlog(), ...this.headroom()];
    const most = Math.min(MOST_PLANNED, this.placesLeft());
    const plan = planRentals(backlog, this.capacities(), this.offers(), most);
    const groups = new Map<string, { place: Place; count: number }>();
    for (const p of plan) {
      const group = groups.get(placeKey(p)) ?? { place: p, count: 0 };
      group.count++;
      groups.set(placeKey(p), group);
    }
    for (const { place, count } of groups.values()) {
      if (!this.asked(place)) this.ask(place, Math.min(MAX_RENT, count));
    }
  }

  /**
   * One node holds a connection for each worker. A machine beyond that would be paid for
   * and never heard, and its tries to get in would cost those that are.
   */
  private placesLeft(): number {
    let taken = this.term.machines.size + this.provisioning.size;
    for (const r of this.requests.values()) taken += r.count;
    const left = socketShares(this.runtime.settings).workers - taken;
    this.runtime.stats.gauge('fleet.places_left', left);
    return Math.max(0, left);
  }

  /** Before the roster is accounted for, tasks that run look like tasks that wait. */
  private knowsWhatRuns(): boolean {
    return this.term.ready || this.runtime.now - this.term.acquired > REBUILD_PATIENCE;
  }

  /** One request a kind at a time: its answer tells whether there is more. */
  private asked(place: Place): boolean {
    return [...this.requests.values()].some((r) => placeKey(r) === placeKey(place));
  }

  private ask({ type, zone, spot }: Place, count: number): void {
    const request = `${this.term.fencingToken}-${++this.lastRequest}`;
    this.requests.set(request, { request, type, zone, spot, count, asked: this.runtime.now });
    this.askRental(request);
  }

  /** What was not rented yet is asked for at once, elsewhere if it was refused. */
  private rentAgain(): void {
    if (!this.term.closed && this.leadership.held() && this.requests.size === 0) this.rent();
  }

  /** Without an answer the same name is asked for again, so nothing is rented twice. */
  private repeatRentals(): void {
    for (const [request, result] of this.requests) {
      if (this.runtime.now - result.asked > CALL_TIMEOUT + 1000) this.askRental(request);
    }
  }

  private askRental(request: string): void {
    const rental = this.requests.get(request);
    if (!rental) return;
    rental.asked = this.runtime.now;
    this.call('POST', MACHINES_PATH, renderRent(rental), PRIORITY.leader, (result) =>
      this.rented(rental, result),
    );
  }

  private rented(rental: ProvisioningRequest, result: CallResult): void {
    if (result.kind !== 'answer' || !this.requests.has(rental.request)) return;
    const { status } = result;
    const hosts = rentedHosts(result);
    if (hosts === null) return;
    this.requests.delete(rental.request);
    const { type, zone, spot } = rental;
    for (const id of hosts) {
      this.provisioning.set(id, { type, zone, spot, asked: this.runtime.now });
    }
    if (hosts.length < rental.count) {
      this.refused.set(placeKey(rental), this.runtime.now + REFUSED_FOR);
    }
    if (this.requests.size === 0) this.runtime.after(0, () => this.rentAgain());
    this.runtime.env.log('info', { ...rental, hosts, status }, 'rental answered');
  }

  // --- returning -------------------------------------------------------------

  /**
   * A machine that may have had work is first marked in the roster: no later term
   * may give work to a machine that is on its way back.
   */
  private giveBack(): void {
    if (!this.term.loaded) return;
    const heldUp = this.termHeldUp();
    for (const machine of this.term.machines.values()) {
      if (machine.returning || !this.shouldReturn(machine, heldUp)) continue;
      this.runtime.env.log(
        'info',
        { machine: machine.id, type: machine.type, spot: machine.spot },
        'returning machine',
      );
      this.term.membership.markReturning(machine);
    }
    if (this.returning) return;
    const ids = [...new Set([...this.marked(), ...this.neverUsed()])].slice(0, MAX_RETURN);
    if (ids.length > 0) this.sendReturn(ids);
  }

  private marked(): string[] {
    return [...this.term.machines.values()]
      .filter((m) => m.returning && m.returnCommitted)
      .map((m) => m.id);
  }

  /** Failed or never up: no term has given them work. */
  private neverUsed(): string[] {
    const ids: string[] = [];
    for (const [id, machine] of this.listed) {
      const unknown = !this.term.machines.has(id) && !this.term.membership.isGone(id);
      if (machine.state === 'failed' && unknown) ids.push(id);
    }
    for (const [id, c] of this.provisioning) if (this.neverCame(c)) ids.push(id);
    return ids;
  }

  private sendReturn(ids: string[]): void {
    this.returning = true;
    this.call('POST', RETURN_PATH, renderReturn(ids), PRIORITY.leader, (result) => {
      this.returning = false;
      if (result.kind !== 'answer' || result.status !== 200) return;
      this.runtime.env.log('info', { machines: ids }, 'machines returned');
      for (const id of ids) {
        this.term.membership.machineGone(id);
        this.provisioning.delete(id);
        this.listed.delete(id);
      }
    });
  }

  private neverCame(machine: Provisioning): boolean {
    const boot = this.types().find((t) => t.name === machine.type)?.boot;
    if (boot === undefined) return false;
    return (
      this.runtime.now - machine.asked > boot * this.runtime.operator.fleet.bootPatience + 5000
    );
  }

  private shouldReturn(machine: Machine, heldUp: boolean): boolean {
    if (this.listed.get(machine.id)?.state === 'failed' || this.vanished(machine)) return true;
    if (this.isOwned(machine.id) || this.owned === null) return false;
    if (machine.lostStarts >= MOST_LOST_STARTS || (machine.resolved && this.deaf(machine)))
      return true;
    if (!machine.resolved) return heldUp;
    return this.idleLongEnough(machine);
  }

  /**
   * It was there before any moment that the newest list may describe, the list
   * lacks it, and it is silent. That alone proves nothing; the answer to its
   * return will.
   */
  private vanished(machine: Machine): boolean {
    if (this.listAsked === null || this.listed.has(machine.id)) return false;
    // A new term's machines are silent until they have found it.
    const { lastHeard } = machine;
    const silence = this.runtime.now - (lastHeard ?? this.term.acquired);
    const patience =
      lastHeard === null ? NEW_TERM_PATIENCE : this.runtime.settings.reportEvery * MISSED_REPORTS;
    if (silence < patience) return false;
    return this.listAsked - this.runtime.settings.cloud.listLag * 2 > machine.since;
  }

  /**
   * Few rented machines stay silent while the rest of the roster has reported:
   * their return proves them gone sooner than the end of their lease would.
   */
  private termHeldUp(): boolean {
    const age = this.runtime.now - this.term.acquired;
    if (age < FEW_PATIENCE) return false;
    const silent = this.term.unresolved().length;
    const all = this.term.machines.size;
    // In a small fleet the last one is more likely slow than gone, and dear to lose.
    if (age < SILENT_PATIENCE) return silent <= all * FEW_PART;
    return silent <= Math.max(1, all * SILENT_PART);
  }

  private idleLongEnough(machine: Machine): boolean {
    if (machine.idleSince === null || machine.noticeUntil !== null) return false;
    const fast = this.policy() === 'fast';
    const least = fast ? FAST_IDLE : this.runtime.operator.fleet.idleReturn;
    const age = this.listed.get(machine.id)?.age ?? Infinity;
    return this.runtime.now - machine.idleSince >= least && age >= LEAST_CHARGE;
  }

  policy(): 'frugal' | 'fast' {
    const set = this.runtime.operator.fleet.policy;
    if (set !== 'auto') return set;
    return this.owned !== null && this.owned !== '' ? 'fast' : 'frugal';
  }
}

/** The machines rented, none where the request was refused; null where it has to be repeated. */
function rentedHosts({ status, body }: Extract<CallResult, { kind: 'answer' }>): string[] | null {
  if (status === 200) return attempt(() => parseRented(body));
  const noCapacity = status === 503 && /capacity/.test(JSON.stringify(body));
  return noCapacity || status === 400 ? [] : null;
}
