package io.mulberrylift.testkit.http;

/**
 * Body of an answer that names what is wrong.
 *
 * @param detail the fault and, where it helps, its remedy
 */
public record ErrorDetail(String detail) {
}
