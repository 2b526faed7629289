import assert from 'node:assert/strict';
import type { Reply } from '@tealdock/controller';
import { SimulatedCluster, type ClusterOptions } from './simulated-cluster.js';

export const A = 'run-000001';

export const idOf = (n: number): string => `run-${String(n).padStart(6, '0')}`;

/** A cluster with machines up and a leader that knows them. */
export function settled(options: ClusterOptions = {}, machines = 2): SimulatedCluster {
  const cluster = new SimulatedCluster(options);
  for (let i = 0; i < machines; i++) cluster.cloud.add(i % 2 === 0 ? 'a' : 'b');
  cluster.run(8000);
  assert.ok(cluster.leader(), 'somebody leads');
  return cluster;
}

export function others(cluster: SimulatedCluster): string[] {
  return cluster.nodes.filter((n) => n !== cluster.leader());
}

export function ask(
  cluster: SimulatedCluster,
  send: (done: (r: Reply | null) => void) => void,
): Reply | null {
  let answer: Reply | null = null;
  send((r) => (answer = r));
  cluster.run(5000);
  return answer;
}

export function running(cluster: SimulatedCluster): number {
  return [...cluster.workers.values()].flatMap((w) => w.tasks).filter((t) => t.status === 'running')
    .length;
}

export const status = (r: Reply | null): unknown => (r?.body as { status?: string } | null)?.status;

export function finished(cluster: SimulatedCluster, id: string, limit = 120_000): boolean {
  const node = () => [...cluster.alive.keys()].at(-1)!;
  const done = () => {
    cluster.poll(id, node());
    return cluster.checker.final(id) === 'done';
  };
  return cluster.runUntil(done, limit);
}

export function keepsRules(cluster: SimulatedCluster): void {
  assert.deepEqual(cluster.checker.broken, []);
}
