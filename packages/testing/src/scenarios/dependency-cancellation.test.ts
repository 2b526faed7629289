import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster, job } from '../index.js';
import {
  A,
  after,
  ask,
  B,
  begun,
  crashLeader,
  finished,
  idOf,
  keepsRules,
  others,
  settled,
  status,
  submitted,
  told,
} from './steps.js';

const CANCEL_WITHIN = 45_000;

/** As users do: each as soon as those that it needs are accepted. */
function chained(cluster: SimulatedCluster, n: number, waits: number[], node: string): void {
  const over = { batch: 1, expected_s: 1, ...after(...waits) };
  cluster.submit(job(n, over), node);
  assert.ok(
    cluster.runUntil(() => cluster.checker.isAccepted(idOf(n)), 4000),
    idOf(n),
  );
}

test('cancel against done of a predecessor on two nodes: what follows it agrees', () => {
  for (let moment = 0; moment <= 800; moment += 100) {
    const cluster = settled({ runTime: 3000 }, 1);
    submitted(cluster, 1, { batch: 1 });
    submitted(cluster, 2, { batch: 1, ...after(1) });
    const exited = () => cluster.checker.doneTasks(A).size === 1;
    assert.ok(cluster.runUntil(exited, 20_000));
    cluster.run(moment);
    cluster.cancel(A, others(cluster)[0]!);
    cluster.poll(A, others(cluster)[1]!);
    cluster.run(15_000);
    const end = told(cluster, 1, 'n-0');
    assert.ok(end === 'done' || end === 'aborted');
    assert.equal(told(cluster, 2, 'n-1'), end);
    keepsRules(cluster);
  }
});

test('a cancelled chain ends, without a task, through an outage and with the first question elsewhere', () => {
  const cluster = settled();
  submitted(cluster, 1, { expected_s: 500 });
  submitted(cluster, 2, after(1));
  submitted(cluster, 3, after(2));
  submitted(cluster, 4, after(2, 3));
  const [b, c] = others(cluster);
  const leader = cluster.leader()!;
  // The leader ends right after the cancellation, and nobody leads until the questions come.
  for (const n of ['state', ...cluster.nodeNames]) cluster.network.cuts.add(`${n}>${leader}`);
  cluster.network.cuts.add(`${leader}>state`);
  cluster.run(1500);
  cluster.cancel(A, b!);
  cluster.run(500);
  cluster.crash(leader);
  cluster.state.down = true;
  cluster.run(CANCEL_WITHIN + 10_000);
  cluster.state.restore();
  assert.equal(cluster.checker.finalStatus(A), 'aborted');
  for (const n of [4, 3, 2]) cluster.poll(idOf(n), c!);
  cluster.run(1500);
  for (const n of [2, 3, 4]) assert.equal(cluster.checker.finalStatus(idOf(n)), 'aborted', idOf(n));
  for (const n of [2, 3, 4]) assert.equal(told(cluster, n, b!), 'aborted');
  cluster.boot(leader);
  cluster.run(20_000);
  for (const n of [2, 3, 4]) assert.ok(!begun(cluster, n));
  keepsRules(cluster);
});

test('the leader ends what needs a cancelled job, without being asked, and starts none of it', () => {
  for (const away of [false, true]) {
    const cluster = settled({ capacity: 4 }, 4);
    submitted(cluster, 1, { expected_s: 500 });
    for (let n = 2; n <= 12; n++) chained(cluster, n, n % 3 === 0 ? [1] : [n - 1], 'n-0');
    if (away) crashLeader(cluster);
    cluster.cancel(
      A,
      others(cluster).find((n) => cluster.processes.running.has(n))!,
    );
    cluster.run(25_000);
    const live = [...cluster.state.keys.keys()].filter((k) => k.includes('/live/'));
    assert.deepEqual(live, []);
    for (let n = 2; n <= 12; n++) assert.ok(!begun(cluster, n), idOf(n));
    for (let n = 2; n <= 12; n++) assert.equal(told(cluster, n, 'n-2'), 'aborted');
    keepsRules(cluster);
  }
});

test('a job submitted behind a cancelled one is accepted and is over', () => {
  const cluster = settled();
  submitted(cluster, 1, { expected_s: 500 });
  assert.equal(status(ask(cluster, (d) => cluster.cancel(A, 'n-1', d))), 'aborted');
  const reply = ask(cluster, (d) => cluster.submit(job(2, after(1)), 'n-2', d));
  assert.deepEqual([reply?.status, status(reply)], [201, 'aborted']);
  assert.equal(told(cluster, 2, 'n-0'), 'aborted');
  assert.equal(ask(cluster, (d) => cluster.submit(job(2, after(1)), 'n-0', d))?.status, 200);
  assert.equal(ask(cluster, (d) => cluster.submit(job(3, after(2)), 'n-0', d))?.status, 201);
  assert.equal(told(cluster, 3, 'n-1'), 'aborted');
  keepsRules(cluster);
});

test('a cancellation that is answered with done lets what follows go on', () => {
  const cluster = settled({ runTime: 2000 });
  submitted(cluster, 1);
  assert.ok(finished(cluster, A));
  submitted(cluster, 2, { expected_s: 10, ...after(1) });
  assert.equal(status(ask(cluster, (d) => cluster.cancel(A, 'n-2', d))), 'done');
  assert.ok(finished(cluster, B));
  keepsRules(cluster);
});

test('hundreds of jobs, wide and deep: all run in order, or end with the first', () => {
  for (const cancels of [false, true]) {
    const cluster = settled({ capacity: 8, runTime: 400 }, 8);
    const [first, wide, deep] = [1, 120, 60];
    if (cancels) cluster.options.runTime = 300_000;
    submitted(cluster, first, { batch: 1, expected_s: 1 });
    for (let i = 0; i < wide; i++) chained(cluster, 2 + i, [first], cluster.nodeNames[i % 3]!);
    for (let i = 0; i < deep; i++) {
      chained(
        cluster,
        500 + i,
        i === 0 ? [2, 3, 4] : [500 + i - 1, 2 + i],
        cluster.nodeNames[i % 3]!,
      );
    }
    const all = [...Array(wide).keys()].map((i) => 2 + i);
    all.push(...[...Array(deep).keys()].map((i) => 500 + i));
    if (cancels) {
      crashLeader(cluster, 20_000);
      assert.equal(
        status(
          ask(cluster, (d) => cluster.cancel(A, [...cluster.processes.running.keys()][0]!, d)),
        ),
        'aborted',
      );
      cluster.run(CANCEL_WITHIN);
      for (const n of all) cluster.poll(idOf(n), cluster.nodeNames[n % 3]!);
      cluster.run(3000);
      for (const n of all) assert.equal(cluster.checker.finalStatus(idOf(n)), 'aborted', idOf(n));
    } else {
      const done = () => all.every((n) => cluster.checker.doneTasks(idOf(n)).size === 1);
      assert.ok(cluster.runUntil(done, 400_000));
    }
    keepsRules(cluster);
  }
});

test('one question about a deep chain costs few requests', () => {
  const cluster = settled({}, 1);
  submitted(cluster, 1, { expected_s: 500 });
  for (let n = 2; n <= 60; n++) chained(cluster, n, [n - 1], 'n-0');
  for (const cold of ['n-1', 'n-2']) {
    let calls = 0;
    cluster.stateLink.fault = (node, call) => {
      if (node === cold && call.priority === 1) calls++;
      return undefined;
    };
    let answered = false;
    const isAnswered = () => answered;
    for (let turn = 0; turn < 8 && !isAnswered(); turn++) {
      const before = calls;
      cluster.poll(idOf(60), cold, (r) => (answered = r?.status === 200));
      cluster.run(2000);
      assert.ok(calls - before <= 50, `${calls - before} requests`);
    }
    assert.ok(answered);
    const before = calls;
    cluster.poll(idOf(60), cold);
    cluster.run(1000);
    assert.ok(calls - before <= 4, 'what was learnt is kept');
  }
  keepsRules(cluster);
});
