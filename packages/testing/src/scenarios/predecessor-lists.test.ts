import assert from 'node:assert/strict';
import { packBody } from '@tealdock/wire';
import type { Reply } from '@tealdock/controller';
import { job, type SimulatedCluster } from '../index.js';
import { onEachDeployment, start } from './deployments.js';
import { A, after, endsWell, idOf, keepsRules, submitted } from './steps.js';

const LIMIT = 400_000;

/** The answer to a body sent as it is, and how long it took. */
function post(
  cluster: SimulatedCluster,
  node: string,
  body: unknown,
): { reply: Reply | null; took: number } {
  const from = cluster.now();
  let took = Infinity;
  let reply: Reply | null = null;
  const request = {
    method: 'POST',
    path: '/api/jobs',
    body: packBody(body),
    via: 'public' as const,
  };
  cluster.processes.request(node, request, (r) => {
    reply = r;
    took = cluster.now() - from;
  });
  cluster.run(6000);
  return { reply, took };
}

onEachDeployment('odd lists of predecessors are answered at once and as documented', (times) => {
  const cluster = start(times, { runTime: LIMIT });
  submitted(cluster, 1, { expected_s: 400 });
  const many = (count: number, from: number) =>
    Array.from({ length: count }, (_, i) => idOf(from + i));
  const cases: [waits: unknown, status: number][] = [
    ['run-000001', 400],
    [{ 0: A }, 400],
    [7, 400],
    [true, 400],
    [[null], 400],
    [[A, 3], 400],
    [[[A]], 400],
    [[''], 422],
    [['run-1'], 422],
    [[`${A}/0`], 422],
    [[idOf(2)], 422],
    [[A, idOf(2)], 422],
    [[idOf(77)], 422],
    [[A, idOf(77), A], 422],
    [many(40, 1000), 422],
    [many(3000, 1000), 400],
    [Array(3000).fill(A), 201],
    [[A, A, A], 200],
  ];
  for (const [waits, expected] of cases) {
    const shown = JSON.stringify(waits).slice(0, 60);
    const { reply, took } = post(cluster, 'n-0', job(2, { waits_on: waits }));
    assert.equal(reply?.status, expected, shown);
    assert.ok(took < 1500, `${shown}: ${took} ms`);
  }
  for (const [waits] of cases) {
    const { reply } = post(cluster, 'n-1', job(2, { waits_on: waits }));
    assert.equal(reply?.status, 200, 'a known job is known whatever the body says now');
  }
  keepsRules(cluster);
});

onEachDeployment(
  'a name that another node is just accepting is known or not, never lost',
  (times) => {
    for (let moment = 0; moment <= 60; moment += 5) {
      const cluster = start(times, { runTime: 2000 });
      cluster.stateLink.extraDelay = () => 20;
      cluster.submit(job(1, { batch: 1 }), 'n-0');
      cluster.run(moment);
      const { reply } = post(cluster, 'n-1', job(2, { batch: 1, ...after(1) }));
      assert.ok([201, 422].includes(reply!.status), `${reply!.status} after ${moment} ms`);
      submitted(cluster, 2, { batch: 1, ...after(1) });
      endsWell(cluster, [1, 2]);
      assert.equal(cluster.checker.finalStatus(idOf(2)), 'done');
    }
  },
);
