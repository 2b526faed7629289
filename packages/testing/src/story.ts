import assert from 'node:assert/strict';
import type { Reply } from '@tealdock/controller';
import { World, type WorldOptions } from './world.js';

export const A = 'run-000001';

export const idOf = (n: number): string => `run-${String(n).padStart(6, '0')}`;

/** A world with machines up and a leader that knows them. */
export function settled(options: WorldOptions = {}, machines = 2): World {
  const world = new World(options);
  for (let i = 0; i < machines; i++) world.cloud.add(i % 2 === 0 ? 'a' : 'b');
  world.run(8000);
  assert.ok(world.leader(), 'somebody leads');
  return world;
}

export function others(world: World): string[] {
  return world.nodes.filter((n) => n !== world.leader());
}

export function ask(world: World, send: (done: (r: Reply | null) => void) => void): Reply | null {
  let answer: Reply | null = null;
  send((r) => (answer = r));
  world.run(5000);
  return answer;
}

export function running(world: World): number {
  return [...world.workers.values()].flatMap((w) => w.tasks).filter((t) => t.status === 'running')
    .length;
}

export const status = (r: Reply | null): unknown => (r?.body as { status?: string } | null)?.status;

export function finished(world: World, id: string, limit = 120_000): boolean {
  const node = () => [...world.alive.keys()].at(-1)!;
  const done = () => {
    world.poll(id, node());
    return world.checker.final(id) === 'done';
  };
  return world.runUntil(done, limit);
}

export function keepsRules(world: World): void {
  assert.deepEqual(world.checker.broken, []);
}
