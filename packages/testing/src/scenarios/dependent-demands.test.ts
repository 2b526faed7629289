import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dependentDemands, type GraphJob } from '@tealdock/scheduler';
import {
  A,
  after,
  ask,
  B,
  finished,
  idOf,
  keepsRules,
  settled,
  status,
  submitted,
} from './steps.js';

const chainJob = (id: string, predecessors: string[], over: Partial<GraphJob> = {}): GraphJob => ({
  id,
  predecessors,
  priority: 'low',
  finishBy: Infinity,
  runTime: 10,
  ...over,
});

test('priority and deadline go back along the longest path, and drop with what needed them', () => {
  const last = chainJob('d', ['b', 'c'], { priority: 'high', finishBy: 1000, runTime: 5 });
  const jobs = [
    chainJob('a', []),
    chainJob('b', ['a'], { runTime: 100 }),
    chainJob('c', ['a'], { runTime: 20, priority: 'normal', finishBy: 500 }),
    last,
    chainJob('x', ['gone'], { finishBy: 7 }),
  ];
  const all = dependentDemands(jobs);
  assert.deepEqual(all.get('a'), { priority: 'high', finishBy: 480 });
  assert.deepEqual(all.get('b'), { priority: 'high', finishBy: 995 });
  assert.deepEqual(all.get('c'), { priority: 'high', finishBy: 500 });
  assert.deepEqual(all.get('x'), { priority: 'low', finishBy: 7 });
  const without = dependentDemands(jobs.filter((j) => j !== last));
  assert.deepEqual(without.get('a'), { priority: 'normal', finishBy: 480 });
  assert.deepEqual(without.get('b'), { priority: 'low', finishBy: Infinity });
});

test('work that an urgent job needs goes before other work, until that job is cancelled', () => {
  for (const cancels of [false, true]) {
    const cluster = settled({ capacity: 1, runTime: 4000 }, 1);
    const low = { urgency: 'idle', batch: 8 };
    submitted(cluster, 1, { ...low, batch: 20 });
    submitted(cluster, 2, { ...low });
    submitted(cluster, 3, { urgency: 'urgent', batch: 1, ...after(2) });
    if (cancels)
      assert.equal(status(ask(cluster, (d) => cluster.cancel(idOf(3), 'n-1', d))), 'aborted');
    const tasks = (id: string) => cluster.checker.doneTasks(id).size;
    cluster.runUntil(() => tasks(B) === 8, 60_000);
    if (cancels) assert.ok(tasks(A) >= 16, `${tasks(A)} tasks of older work were done first`);
    else assert.ok(tasks(A) < 16, `${tasks(A)} tasks of older work were done before`);
    if (!cancels) assert.ok(finished(cluster, idOf(3), 20_000));
    keepsRules(cluster);
  }
});
