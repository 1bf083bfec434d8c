/**
 * Prints, for each model, the states explored and the bounds.
 *
 * @module
 */

console.log(JSON.stringify({ models: [] }));
