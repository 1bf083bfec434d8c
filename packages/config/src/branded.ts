/**
 * Schema of the names that operators give to things.
 *
 * @module
 */

import * as z from "zod";

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Schema of a branded id: what a file may hold wherever a thing is named. */
export function branded<Id extends string>() {
  return z.string()
    .regex(NAME, "must be a name of lower case letters, digits and hyphens")
    .transform((value) => value as Id);
}
