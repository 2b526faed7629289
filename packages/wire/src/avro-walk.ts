/** Walks through an Avro value without decoding it, to hold it to the decoding bound. */
import { DecodingBound } from './decoding-bound.js';
import { WireError } from './errors.js';

/** The schemas that the peer protocol uses, a part of Avro's. */
export type AvroSchema =
  'string' | 'bytes' | 'int' | 'long' | 'double' | 'boolean' | AvroArray | AvroRecord;

/** The schema of a list of values of one type. */
export interface AvroArray {
  type: 'array';
  items: AvroSchema;
}

/** The schema of a value with named fields, which follow each other in this order. */
export interface AvroRecord {
  type: 'record';
  name: string;
  fields: { name: string; type: AvroSchema }[];
}

const DOUBLE_BYTES = 8;
/** Bytes of the longest integer: 64 bits, seven in each byte. */
const MAX_INTEGER_BYTES = 10;
const BITS_PER_INTEGER_BYTE = 7;

/** Throws `WireError` for bytes that may not be decoded, or that end before the value does. */
export function checkAvro(schema: AvroSchema, bytes: Uint8Array): void {
  walkValue(new DecodingBound(bytes), schema);
}

function walkValue(bound: DecodingBound, schema: AvroSchema): void {
  bound.beginValue();
  if (typeof schema === 'string') return walkPrimitive(bound, schema);
  if (schema.type === 'array') return walkArray(bound, schema.items);
  bound.enter(schema.fields.length);
  for (const field of schema.fields) walkValue(bound, field.type);
  bound.leave();
}

function walkPrimitive(bound: DecodingBound, type: Extract<AvroSchema, string>): void {
  switch (type) {
    case 'string':
    case 'bytes':
      return bound.skipText(readCount(bound));
    case 'int':
    case 'long':
      readInteger(bound);
      return;
    case 'double':
      return bound.skipNumber(DOUBLE_BYTES);
    case 'boolean':
      bound.readByte();
  }
}

/** An array is a row of blocks; each begins with its number of items, and 0 ends the row. */
function walkArray(bound: DecodingBound, items: AvroSchema): void {
  for (;;) {
    const announced = readInteger(bound);
    if (announced === 0) return;
    // A negative count is followed by the size of the block in bytes.
    if (announced < 0) readInteger(bound);
    const itemCount = Math.abs(announced);
    bound.enter(itemCount);
    for (let i = 0; i < itemCount; i++) walkValue(bound, items);
    bound.leave();
  }
}

function readCount(bound: DecodingBound): number {
  const count = readInteger(bound);
  if (count < 0) throw new WireError('a length is negative');
  return count;
}

/** Reads an integer: seven bits in each byte, the lowest first, the sign in the lowest bit. */
function readInteger(bound: DecodingBound): number {
  let value = 0;
  for (let i = 0; i < MAX_INTEGER_BYTES; i++) {
    const byte = bound.readByte();
    value += (byte & 0x7f) * 2 ** (BITS_PER_INTEGER_BYTE * i);
    if (byte <= 0x7f) return value % 2 === 0 ? value / 2 : -(value + 1) / 2;
  }
  throw new WireError('an integer has more than 64 bits');
}
