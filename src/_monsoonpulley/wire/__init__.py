"""HTTP/1.1 connections of clients and servers, parsed by ``httptools``."""
