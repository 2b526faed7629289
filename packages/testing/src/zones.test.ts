import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { World } from './index.js';
import { job } from './index.js';
import { A, ask, finished, keepsRules, others, running, settled, status } from './story.js';

/** Parts zone `b`, with one controller that does not lead, from the leader's side. */
function partZones(world: World): { far: string; machines: string[] } {
  const far = others(world)[0]!;
  const machines = [...world.workers.values()]
    .filter((w) => w.machine.zone === 'b')
    .map((w) => w.machine.id);
  world.part([far, ...machines]);
  return { far, machines };
}

function busyWorld(): World {
  const world = settled({ capacity: 4, runTime: 70_000 }, 4);
  // Room is left on the leader's side for whatever it takes for lost.
  world.submit(job(1, { batch: 10, expected_s: 70 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 10, 20_000));
  return world;
}

test("zones apart for longer than the workers' lease: the far zone keeps its tasks", () => {
  const world = busyWorld();
  const { machines } = partZones(world);
  world.run(40_000);
  for (const id of machines) assert.equal(world.workers.get(id)!.shift, 1, `${id} kept its lease`);
  world.cuts.clear();
  assert.ok(finished(world, A));
  assert.equal(world.checker.starts, 10, 'nothing ran again');
  keepsRules(world);
});

test('zones apart: a cancelled job is gone from the far zone in time', () => {
  const world = busyWorld();
  const { far } = partZones(world);
  world.run(12_000);
  assert.equal(status(ask(world, (d) => world.cancel(A, far, d))), 'aborted');
  world.run(50_000);
  assert.equal(running(world), 0);
  keepsRules(world);
});

test('zones apart and the leader dies: its successor waits for what is kept', () => {
  for (const wait of [9000, 14_000, 19_000]) {
    const world = busyWorld();
    partZones(world);
    world.run(wait);
    world.crash(world.leader()!);
    world.run(30_000);
    world.cuts.clear();
    assert.ok(finished(world, A, 300_000), `died after ${wait} ms`);
    keepsRules(world);
  }
});

// A grant seen for the first time as a lease runs out is taken to begin then: the roster
// would stay open for a grant and a lease more, with all older work waiting.
test('grants that were over long ago do not put off the end of leases', () => {
  const world = busyWorld();
  const { machines } = partZones(world);
  world.run(12_000);
  assert.ok(world.log.some((l) => l.message === 'grant to keep workers'));
  // The zone, its controller included, is gone for good, and the leader ends.
  const from = world.log.length;
  for (const id of machines) world.cuts.add(id);
  world.crash(world.leader()!);
  const ready = () => world.log.slice(from).some((l) => l.message === 'roster accounted for');
  assert.ok(world.runUntil(ready, 100_000));
  const took = Number(
    world.log.slice(from).find((l) => l.message === 'roster accounted for')!.fields['took'],
  );
  const grant = 6000;
  assert.ok(took < world.lease + grant + 5000, `${took} ms`);
  world.cuts.clear();
  assert.ok(finished(world, A, 300_000));
  keepsRules(world);
});

test('a machine of the far zone that dies while it is kept gives its tasks back', () => {
  const world = busyWorld();
  const { machines } = partZones(world);
  world.run(15_000);
  world.cloud.take(machines[0]!);
  world.run(20_000);
  world.cuts.clear();
  assert.ok(finished(world, A, 300_000));
  keepsRules(world);
});

test('workers go to a leader that peers only refuse to connect to', () => {
  const world = settled({}, 3);
  const leader = world.leader()!;
  const peers = others(world);
  for (const p of peers) world.cuts.add(`${leader}>${p}`);
  for (const p of peers) world.cuts.add(`${p}>${leader}`);
  const refuse = () => {
    for (const p of peers) world.refuse(p, leader);
    world.at(1000, refuse);
  };
  refuse();
  world.run(10_000);
  for (let i = 0; i < 3; i++) world.cloud.add('a');
  world.run(10_000);
  const kept = world.log.some((l) => l.message === 'grant to keep workers');
  assert.ok(!kept, 'no grant is asked for');
  for (const w of world.workers.values()) assert.ok(w.fence > 0, 'each has found the leader');
  world.submit(job(1), peers[0]!);
  assert.ok(finished(world, A));
  keepsRules(world);
});
