import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DirtyMachines } from './dirty-machines.js';

test('iteration yields each marked machine once, in the order of marking', () => {
  const dirty = new DirtyMachines();
  for (const id of ['m-2', 'm-1', 'm-2']) dirty.add(id);
  assert.deepEqual([...dirty], ['m-2', 'm-1']);
});

test('a mark can be removed during the iteration', () => {
  const dirty = new DirtyMachines();
  for (const id of ['m-1', 'm-2', 'm-3']) dirty.add(id);
  const visited: string[] = [];
  for (const id of dirty) {
    visited.push(id);
    dirty.delete(id);
  }
  assert.deepEqual(visited, ['m-1', 'm-2', 'm-3']);
  assert.deepEqual([...dirty], []);
});
