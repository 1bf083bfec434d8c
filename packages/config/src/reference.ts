/**
 * Generates the reference pages of the document formats from their schemas, so that
 * they stay up to date.
 *
 * @module
 */

import { z, type ZodType } from "zod";

/** The subset of JSON Schema that the formats use. */
interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly pattern?: string;
  readonly format?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly additionalProperties?: SchemaNode | boolean;
}

/** A value that a document may contain. */
interface Entry {
  readonly pointer: string;
  readonly node: SchemaNode;
  readonly required: boolean;
}

/** Renders a page: a title and a table of all values that the schema allows. */
export function renderReference(title: string, schema: ZodType): string {
  const root = z.toJSONSchema(schema, { io: "input" }) as SchemaNode;
  const lines = entriesOf(root, "").map(renderEntry);
  return [
    `# ${title}`,
    "",
    "Generated from the schema. `*` stands for each index of a list, `NAME` for",
    "each key of an object. Unknown fields are rejected.",
    "",
    "| value | type | allowed | default | meaning |",
    "| --- | --- | --- | --- | --- |",
    ...lines,
    "",
  ].join("\n");
}

function entriesOf(node: SchemaNode, pointer: string): readonly Entry[] {
  const required = new Set(node.required ?? []);
  const children = Object.entries(node.properties ?? {}).flatMap(
    ([name, child]) => {
      const childPointer = `${pointer}/${name}`;
      const entry = {
        pointer: childPointer,
        node: child,
        required: required.has(name),
      };
      return [entry, ...entriesOf(child, childPointer)];
    },
  );
  if (node.items !== undefined) {
    children.push(...elementsOf(node.items, `${pointer}/*`));
  }
  if (typeof node.additionalProperties === "object") {
    children.push(...elementsOf(node.additionalProperties, `${pointer}/NAME`));
  }
  return children;
}

/** Entries for the elements of a list or map: one per field for objects, otherwise one for the element itself. */
function elementsOf(node: SchemaNode, pointer: string): readonly Entry[] {
  return node.type === "object"
    ? entriesOf(node, pointer)
    : [{ pointer, node, required: true }];
}

function renderEntry({ pointer, node, required }: Entry): string {
  const defaultText = node.default === undefined
    ? (required ? "required" : "optional")
    : `\`${JSON.stringify(node.default)}\``;
  const cells = [
    `\`${pointer}\``,
    node.type ?? "any",
    allowedValues(node),
    defaultText,
    node.description ?? "",
  ];
  return `| ${cells.map((cell) => cell.replaceAll("|", "\\|")).join(" | ")} |`;
}

function allowedValues(node: SchemaNode): string {
  const { minimum, maximum } = node;
  const rules = [
    node.enum?.map((value) => `\`${value}\``).join(", "),
    node.pattern === undefined ? undefined : `\`${node.pattern}\``,
    node.format,
    minimum === undefined ? undefined : `${minimum} to ${maximum}`,
    node.maxLength === undefined
      ? undefined
      : `at most ${node.maxLength} characters`,
    node.minItems === undefined ? undefined : `at least ${node.minItems}`,
  ];
  return rules.filter((rule) => rule !== undefined).join("; ");
}
