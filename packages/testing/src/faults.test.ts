import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World, job, type WorldOptions } from './index.js';

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);
const JOBS = 12;
const TROUBLED = 120_000;
const FAULT_EVERY = 4000;

const pick = <T>(world: World, from: T[]): T | undefined =>
  from[Math.floor(world.random() * from.length)];

function crash(world: World): void {
  const name = pick(world, world.nodes)!;
  if (!world.alive.has(name)) return;
  world.crash(name);
  world.at(200 + world.random() * 8000, () => world.alive.has(name) || world.boot(name));
}

function hang(world: World): void {
  const name = pick(world, world.nodes)!;
  world.hang(name, true);
  world.at(world.random() * 25_000, () => world.hang(name, false));
}

function hangWorker(world: World): void {
  const worker = pick(world, [...world.workers.values()]);
  if (!worker) return;
  worker.hanging = true;
  world.at(world.random() * 25_000, () => (worker.hanging = false));
}

function cut(world: World): void {
  const name = pick(world, [...world.nodes, ...world.workers.keys()])!;
  const other = pick(world, world.nodes)!;
  const cut = world.random() < 0.5 ? name : `${other}>${name}`;
  world.cuts.add(cut);
  world.at(world.random() * 30_000, () => world.cuts.delete(cut));
}

function outage(world: World): void {
  world.state.down = true;
  world.at(world.random() * 15_000, () => world.state.restore());
}

function losses(world: World): void {
  world.stateFault = () => {
    const dice = world.random();
    return dice < 0.1 ? 'lost_before' : dice < 0.2 ? 'lost_after' : undefined;
  };
  world.at(world.random() * 10_000, () => (world.stateFault = null));
}

function take(world: World): void {
  const id = pick(world, [...world.cloud.machines.keys()]);
  if (id) world.cloud.take(id);
}

function deafen(world: World): void {
  const id = pick(world, [...world.workers.keys()]);
  if (!id) return;
  world.deafen(id);
  world.at(world.random() * 40_000, () => world.undeafen(id));
}

function copies(world: World): void {
  world.copyDelay = () => (world.random() < 0.3 ? 100 + world.random() * 60_000 : null);
  world.at(world.random() * 20_000, () => (world.copyDelay = null));
}

function isolate(world: World): void {
  world.isolate(pick(world, world.nodes)!);
  world.at(world.random() * 30_000, () => world.cuts.clear());
}

function part(world: World): void {
  const machines = [...world.workers.values()].filter((w) => w.machine.zone === 'b');
  world.part([pick(world, world.nodes)!, ...machines.map((w) => w.machine.id)]);
  world.at(world.random() * 45_000, () => world.cuts.clear());
}

function reboot(world: World): void {
  pick(world, [...world.workers.values()])?.reboot();
}

function blink(world: World): void {
  const name = pick(world, world.nodes)!;
  if (!world.alive.has(name)) return;
  world.crash(name);
  world.at(50 + world.random() * 500, () => world.alive.has(name) || world.boot(name));
}

/** Transactions get no answer and are carried out after newer ones. */
function lateWrites(world: World): void {
  world.stateFault = (_node, call) =>
    call.writes > 0 && world.random() < 0.3 ? 2000 + world.random() * 10_000 : undefined;
  world.at(world.random() * 15_000, () => (world.stateFault = null));
}

function slow(world: World): void {
  world.stateDelay = () => (world.random() < 0.5 ? world.random() * 1500 : 0);
  world.at(world.random() * 15_000, () => (world.stateDelay = null));
}

function mute(world: World): void {
  const id = pick(world, [...world.workers.keys()]);
  if (!id) return;
  world.mute(id);
  world.at(world.random() * 40_000, () => world.unmute(id));
}

/** The state service refuses one node, perhaps the leader, and soon perhaps everybody. */
function refuse(world: World): void {
  const name = (world.random() < 0.7 ? world.leader() : null) ?? pick(world, world.nodes)!;
  world.state.refused.add(name);
  world.at(5000 + world.random() * 15_000, () => world.state.refused.delete(name));
  if (world.random() < 0.5) world.at(500 + world.random() * 3000, () => outage(world));
}

/** Users call off what runs, and its machines hang. */
function cancelNow(world: World): void {
  const here = [...world.workers.values()].filter((w) => w.tasks.length > 0);
  const worker = pick(world, here);
  const piece = worker?.tasks.find((t) => t.status === 'running')?.piece;
  const node = pick(world, [...world.alive.keys()]);
  if (!worker || !piece || !node) return;
  const id = piece.split('/')[0]!;
  if (world.checker.accepted(id)) world.cancel(id, node);
  worker.hanging = true;
  world.at(world.random() * 30_000, () => (worker.hanging = false));
}

function changeLeaders(world: World): void {
  for (let i = 0; i < 5; i++) {
    world.at(i * 6000, () => {
      const leader = world.leader();
      if (!leader || !world.alive.has(leader)) return;
      world.crash(leader);
      world.at(300 + world.random() * 5000, () => world.alive.has(leader) || world.boot(leader));
    });
  }
}

const FAULTS = [
  lateWrites,
  slow,
  mute,
  mute,
  refuse,
  refuse,
  cancelNow,
  cancelNow,
  changeLeaders,
  crash,
  crash,
  hang,
  hangWorker,
  cut,
  cut,
  outage,
  losses,
  take,
  deafen,
  copies,
  isolate,
  part,
  part,
  reboot,
  blink,
];

function user(world: World, number: number): void {
  const node = () => pick(world, [...world.alive.keys()]);
  const id = `run-${String(number).padStart(6, '0')}`;
  // Some wait for earlier ones, as far as those were accepted.
  const chained = world.random() < 0.4;
  const earlier = () =>
    [number - 1, number - 2, number - 5]
      .map((n) => `run-${String(n).padStart(6, '0')}`)
      .filter((other) => world.checker.accepted(other));
  const body = job(number, {
    batch: 1 + Math.floor(world.random() * 6),
    expected_s: 2 + world.random() * 30,
    urgency: pick(world, ['urgent', 'normal', 'idle']),
  });
  const step = () => {
    const at = node();
    if (world.checker.final(id) !== null) return;
    // A retry is the same request again, so what it names is settled at the first.
    if (chained) body['waits_on'] ??= earlier();
    if (at && !world.checker.accepted(id)) world.submit(body, at);
    else if (at) world.poll(id, at);
    world.at(2500, step);
  };
  world.at(world.random() * TROUBLED, step);
  if (world.random() < 0.3) {
    world.at(world.random() * TROUBLED * 1.2, () => {
      const at = node();
      if (at && world.checker.accepted(id)) world.cancel(id, at);
    });
  }
}

/** A day of random troubles, then quiet; returns the numbers of jobs that have not ended. */
function troubledDay(options: WorldOptions): { world: World; open: string[] } {
  const world = new World({ capacity: 6, cpuLimit: 16, ...options });
  for (let i = 0; i < 3; i++) world.cloud.add(i % 2 ? 'a' : 'b');
  const ids = Array.from({ length: JOBS }, (_, i) => i + 1);
  for (const i of ids) user(world, i);
  for (let at = 8000; at < TROUBLED; at += FAULT_EVERY) {
    world.at(at, () => pick(world, FAULTS)!(world));
  }
  world.run(TROUBLED);
  world.run(30_000);
  world.calm();
  const name = (i: number) => `run-${String(i).padStart(6, '0')}`;
  const open = () => ids.map(name).filter((id) => world.checker.final(id) === null);
  world.runUntil(() => open().length === 0, 400_000);
  return { world, open: open() };
}

for (const seed of SEEDS) {
  test(`random troubles, seed ${seed}: every rule holds and every job ends`, () => {
    const { world, open } = troubledDay({ seed });
    assert.deepEqual(world.checker.broken, []);
    assert.deepEqual(open, []);
    assert.ok(world.checker.starts > 0);
    assert.deepEqual(world.checker.unserved(), []);
  });
}

test('the checker sees a broken guard: a lease believed too short runs tasks twice', () => {
  const broken = SEEDS.flatMap(
    (seed) => troubledDay({ seed, believedLease: 1000 }).world.checker.broken,
  );
  assert.ok(broken.some((b) => b.startsWith('ran_twice')));
});
