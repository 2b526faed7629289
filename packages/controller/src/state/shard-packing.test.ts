import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ShardPacking, entryBytes, type PackingOptions } from './shard-packing.js';

const VALUE = 'x'.repeat(20);
const ENTRY_BYTES = entryBytes('a', VALUE);
const UNLIMITED = { maxShardCount: Infinity, maxBytes: Infinity };

const packing = (options: Partial<PackingOptions> = {}) =>
  new ShardPacking<string>({
    keyPrefix: 'table/',
    maxShardBytes: 2 * ENTRY_BYTES,
    changeKind: 'urgent',
    ...options,
  });

const stored = (shards: { key: string; entries: Map<string, string> }[]) =>
  shards.map(({ key, entries }) => [key, ...entries.keys()]);

test('a shard is filled up to its maximum size, then the next key is used', () => {
  const table = packing();
  for (const id of ['a', 'b', 'c']) table.set(id, VALUE);
  assert.deepEqual(stored(table.nextBatch('urgent', UNLIMITED)), [
    ['table/000', 'a', 'b'],
    ['table/001', 'c'],
  ]);
});

test('a value that grows beyond its shard moves, and its old shard is written last', () => {
  const table = packing();
  for (const id of ['a', 'b']) table.set(id, VALUE);
  table.set('a', VALUE + VALUE);
  assert.equal(table.get('a'), VALUE + VALUE);
  assert.deepEqual(stored(table.nextBatch('urgent', UNLIMITED)), [
    ['table/001', 'a'],
    ['table/000', 'b'],
  ]);
});

test('the newer version of an entry that is stored twice is kept', () => {
  const table = packing();
  table.load('table/000', 1, [['a', 'old']]);
  table.load('table/001', 2, [['a', 'new']]);
  assert.deepEqual(table.entries(), [['a', 'new']]);
  assert.deepEqual(stored(table.nextBatch('urgent', UNLIMITED)), [['table/000']]);
});

test('shards stored under a larger limit are split', () => {
  const table = packing();
  const entries = ['a', 'b', 'c'].map((id): [string, string] => [id, VALUE]);
  table.load('table/000', 1, entries);
  table.splitOversized();
  assert.deepEqual(stored(table.nextBatch('urgent', UNLIMITED)), [
    ['table/001', 'a'],
    ['table/000', 'b', 'c'],
  ]);
});

test('a removal is a deferrable change, while forgetting an entry is no change', () => {
  const table = packing();
  table.load('table/000', 1, [
    ['a', VALUE],
    ['b', VALUE],
  ]);
  table.forget('a');
  assert.equal(table.hasUnsavedChanges, false);
  assert.equal(table.remove('b'), true);
  assert.equal(table.remove('b'), false);
  assert.equal(table.hasUnsavedChanges, true);
  assert.equal(table.hasUrgentChanges, false);
  assert.deepEqual(stored(table.nextBatch('deferrable', UNLIMITED)), [['table/000']]);
});

test('a batch stays within the transaction limits, but has at least one shard', () => {
  const table = packing();
  for (const id of ['a', 'b', 'c', 'd', 'e']) table.set(id, VALUE);
  const keys = (maxShardCount: number, maxBytes: number) =>
    table.nextBatch('urgent', { maxShardCount, maxBytes }).map((s) => s.key);
  assert.deepEqual(keys(2, Infinity), ['table/000', 'table/001']);
  assert.deepEqual(keys(3, 3 * ENTRY_BYTES), ['table/000']);
  assert.deepEqual(keys(3, 1), ['table/000']);
});
