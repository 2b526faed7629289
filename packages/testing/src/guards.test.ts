import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call } from '@tealdock/controller';
import { World, job } from './index.js';
import { A, ask, finished, idOf, keepsRules, others, running, settled, status } from './story.js';

/** Keys that a transaction writes. */
function writtenKeys(call: Call): string[] {
  if (call.path !== '/commit') return [];
  const { writes } = call.body as { writes: { write?: string }[] };
  return writes.flatMap(({ write }) => write ?? []);
}

test('progress takes at most its share of the changes per second', () => {
  const [writeRps, seconds] = [16, 30];
  const world = settled(
    {
      capacity: 40,
      cpuLimit: 10_000,
      next: { valueBytes: 1024, txnOps: 4 },
      limits: { sockets: 4000, rps: 400, writeRps },
      // The tasks of each job end one after the other, and all jobs have some that end.
      runTimeOf: (p) => 6000 + Number(p.split('/')[1]) * 3500 + (Number(p.slice(4, 10)) % 7) * 400,
    },
    40,
  );
  const jobs = Array.from({ length: 120 }, (_, i) => i + 1);
  for (const n of jobs) {
    world.submit(job(n, { batch: 10, cpus: 0.1, mem_gb: 0.1 }), world.nodes[n % 3]!);
    world.run(150);
  }
  let changes = 0;
  world.stateFault = (_node, call) => {
    changes += writtenKeys(call).filter((key) => key.includes('/progress/')).length;
    return undefined;
  };
  world.run(seconds * 1000);
  assert.ok(changes > seconds / 2, `${changes} changes: progress is written`);
  // An eighth of the changes, and one transaction that was due as the count began.
  const most = (seconds * writeRps) / 8 + 4;
  assert.ok(changes <= most, `${changes} changes of progress in ${seconds} s, ${most} allowed`);
  world.stateFault = null;
  for (const n of jobs) assert.ok(finished(world, idOf(n), 300_000), idOf(n));
  keepsRules(world);
});

/** Many jobs of one task each that are over at about the same time, under few changes a second. */
function manyEnds(): { world: World; ids: string[] } {
  const world = settled(
    {
      capacity: 12,
      cpuLimit: 10_000,
      runTimeOf: (p) => 70_000 - Number(p.slice(4, 10)) * 500,
      limits: { sockets: 4000, rps: 200, writeRps: 15 },
      next: { valueBytes: 4096, txnOps: 4 },
    },
    12,
  );
  const ids = Array.from({ length: 90 }, (_, i) => idOf(i + 1));
  for (const n of ids.keys()) {
    world.submit(job(n + 1, { batch: 1, cpus: 0.1, mem_gb: 0.1 }), world.nodes[n % 3]!);
    world.run(450);
  }
  return { world, ids };
}

const allRan = (world: World, ids: string[]) => () =>
  ids.every((id) => world.checker.doneTasks(id).size === 1);

const allEnded = (world: World, ids: string[]) => () =>
  ids.every((id) => world.state.keys.has(`tealdock/ended/${id}`));

test('the leader uses the changes that the other nodes leave for ends of jobs', () => {
  const { world, ids } = manyEnds();
  assert.ok(world.runUntil(allRan(world, ids), 90_000));
  const from = world.now();
  assert.ok(world.runUntil(allEnded(world, ids), 60_000));
  // 90 ends are 180 changes, 24 s of half of 15 a second and 15 s of four fifths.
  assert.ok(world.now() - from < 17_000, `${world.now() - from} ms`);
  keepsRules(world);
});

test('a leader with many ends leaves room for the submissions of the other nodes', () => {
  const { world, ids } = manyEnds();
  assert.ok(world.runUntil(() => ids.some((id) => world.checker.doneTasks(id).size > 0), 90_000));
  const others = world.nodes.filter((n) => n !== world.leader());
  let refused = 0;
  for (let i = 0; i < 120; i++) {
    const over = { batch: 1, cpus: 0.1, mem_gb: 0.1, expected_s: 500 };
    world.at(i * 180, () =>
      world.submit(job(1000 + i, over), others[i % 2]!, (r) => {
        if (r?.status !== 201) refused++;
      }),
    );
  }
  world.run(40_000);
  assert.ok(allEnded(world, ids)());
  assert.equal(refused, 0, 'five submissions a second are all taken at once');
  keepsRules(world);
});

// Its conditions are all that is left between a cancellation under way and a job that ends.
test('a cancellation carried out after the end of its job changes nothing', () => {
  for (const delay of [1500, 4000, 9000]) {
    const world = settled({ runTime: 3000 });
    world.submit(job(1, { batch: 1 }), 'n-0');
    const exited = () => world.checker.doneTasks(A).size === 1;
    const [b, c] = others(world);
    world.stateFault = (node, call) =>
      node === b && writtenKeys(call).some((key) => key.includes('/ended/')) ? delay : undefined;
    world.runUntil(() => running(world) === 1, 20_000);
    world.run(2000);
    world.cancel(A, b!);
    assert.ok(world.runUntil(exited, 20_000));
    assert.ok(finished(world, A), 'it ended as done');
    const ended = world.state.keys.get(`tealdock/ended/${A}`);
    world.run(delay + 2000);
    world.stateFault = null;
    assert.deepEqual(world.state.keys.get(`tealdock/ended/${A}`), ended);
    for (const n of [b!, c!, world.leader()!]) {
      assert.equal(status(ask(world, (d) => world.poll(A, n, d))), 'done');
    }
    keepsRules(world);
  }
});

/** A zone whose workers are kept by a follower, which can't tell how their jobs stand. */
function keptWithoutProofs(): { world: World; follower: string; near: string } {
  const world = settled({ capacity: 4, runTime: 120_000 }, 4);
  world.submit(job(1, { batch: 10, expected_s: 120 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 10, 20_000));
  const [follower, near] = others(world) as [string, string];
  const machines = [...world.workers.values()].filter((w) => w.machine.zone === 'b');
  world.part([follower, ...machines.map((w) => w.machine.id)]);
  world.run(15_000);
  const aboutJobs = ({ path, body }: Call): boolean =>
    path.startsWith('/keys/tealdock/live/') || JSON.stringify(body ?? '').includes('/live/');
  world.stateFault = (node, call) =>
    node === follower && aboutJobs(call) ? 'lost_before' : undefined;
  return { world, follower, near };
}

test('a proof that fails under a grant renews no lease of a cancelled task', () => {
  const { world, near } = keptWithoutProofs();
  assert.equal(status(ask(world, (d) => world.cancel(A, near, d))), 'aborted');
  world.run(world.terms.cancelWithin + 10_000);
  assert.equal(running(world), 0);
  keepsRules(world);
});

test('a proof that fails under a grant stops no task of a live job', () => {
  const { world } = keptWithoutProofs();
  world.run(world.lease / 2);
  world.stateFault = null;
  world.run(15_000);
  assert.equal(running(world), 10, 'all tasks run on');
  assert.equal(world.checker.starts, 10);
  world.cuts.clear();
  assert.ok(finished(world, A, 200_000));
  keepsRules(world);
});
